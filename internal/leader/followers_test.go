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
	const beforeTimeout = followerTimeout - 1
	cases := map[string]struct {
		contacts map[string]micros.Duration // time since the last contact with each subscriber
		want     []string
	}{
		"no followers":             {nil, []string{"c1"}},
		"one follower":             {map[string]micros.Duration{"c2": micros.Second}, []string{"c1", "c2"}},
		"one follower timed out":   {map[string]micros.Duration{"c2": followerTimeout, "c3": 0}, []string{"c1", "c3"}},
		"two followers":            {map[string]micros.Duration{"c2": beforeTimeout, "c3": 0}, []string{"c1", "c2", "c3"}},
		"both followers timed out": {map[string]micros.Duration{"c2": micros.Minute, "c3": micros.Minute}, []string{"c1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cfg := &settings.Settings{Member: "c1"}
			for _, team := range []string{"red", "green", "blue"} {
				cfg.Deployment.Teams = append(cfg.Deployment.Teams, settings.Team{Name: team})
			}
			tracked := newFollowers(cfg)
			for controller, ago := range c.contacts {
				tracked.subscriptions[&subscription{controller: controller}] = true
				tracked.recordContact(now.Add(-ago), controller)
			}
			assigned := tracked.assign(now)
			if len(assigned) != len(cfg.Deployment.Teams) {
				t.Errorf("assignments are %v, want one for each of the three teams", assigned)
			}
			controllers := slices.Compact(slices.Sorted(maps.Values(assigned)))
			if !slices.Equal(controllers, c.want) {
				t.Errorf("teams are assigned to %v, want %v", controllers, c.want)
			}
		})
	}
}

func TestNotifyDoesNotBlock(t *testing.T) {
	tracked := newFollowers(&settings.Settings{})
	sub := &subscription{updated: make(chan struct{}, 1)}
	tracked.subscriptions[sub] = true
	tracked.notify()
	tracked.notify() // must not block although the follower has not received the first notification
	if got := len(sub.updated); got != 1 {
		t.Errorf("%d notifications are pending, want 1", got)
	}
}
