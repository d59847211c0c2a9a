package leader

import (
	"maps"
	"slices"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
)

func TestTeamsAreAssignedToFollowersInContact(t *testing.T) {
	const now = micros.Timestamp(100 * micros.Second)
	const almost = followerTimeout - 1
	cases := map[string]struct {
		contacts map[string]micros.Duration // time since the last contact of each subscriber
		want     []string
	}{
		"alone":                  {nil, []string{"c1"}},
		"one follows":            {map[string]micros.Duration{"c2": micros.Second}, []string{"c1", "c2"}},
		"one has fallen silent":  {map[string]micros.Duration{"c2": followerTimeout, "c3": 0}, []string{"c1", "c3"}},
		"two are in contact":     {map[string]micros.Duration{"c2": almost, "c3": 0}, []string{"c1", "c2", "c3"}},
		"all have fallen silent": {map[string]micros.Duration{"c2": micros.Minute, "c3": micros.Minute}, []string{"c1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			set := &settings.Settings{Member: "c1"}
			for _, team := range []string{"red", "green", "blue"} {
				set.Deployment.Teams = append(set.Deployment.Teams, settings.Team{Name: team})
			}
			known := newFollowers(set)
			for controller, ago := range c.contacts {
				known.subscriptions[&subscription{controller: controller}] = true
				known.contacted(now.Add(-ago), controller)
			}
			assigned := known.assign(now)
			if len(assigned) != len(set.Deployment.Teams) {
				t.Errorf("assignments are %v, want all of three teams", assigned)
			}
			controllers := slices.Compact(slices.Sorted(maps.Values(assigned)))
			if !slices.Equal(controllers, c.want) {
				t.Errorf("teams are assigned to %v, want %v", controllers, c.want)
			}
		})
	}
}

func TestNotifyKeepsOneNotification(t *testing.T) {
	known := newFollowers(&settings.Settings{})
	waiting := &subscription{published: make(chan struct{}, 1)}
	known.subscriptions[waiting] = true
	known.notify()
	known.notify() // the follower is slow: it must not hold up the term
	if got := len(waiting.published); got != 1 {
		t.Errorf("%d notifications wait, want 1", got)
	}
}
