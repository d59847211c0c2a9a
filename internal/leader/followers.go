package leader

import (
	"context"
	"slices"

	"saffronbend/internal/eventloop"
	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// followerTimeout is how long after its last lease request or subscription a follower keeps its teams.
const followerTimeout = 1500 * micros.Millisecond

// followers are the other controllers as a term knows them: who follows, and which teams each places tasks for. Owned
// by the loop's goroutine.
type followers struct {
	controller    string // this one
	teams         []wire.TeamName
	subscriptions map[*subscription]bool
	lastContact   map[string]micros.Timestamp
	assignments   map[wire.TeamName]string // controller by team
}

// subscription is that of a controller that follows.
type subscription struct {
	controller string
	published  chan struct{} // holds a token when there may be a newer snapshot
}

func newFollowers(set *settings.Settings) *followers {
	var teams []wire.TeamName
	for _, team := range set.Deployment.Teams {
		teams = append(teams, wire.TeamName(team.Name))
	}
	return &followers{
		controller:    set.Member,
		teams:         teams,
		subscriptions: map[*subscription]bool{},
		lastContact:   map[string]micros.Timestamp{},
	}
}

// contacted notes that a controller has shown that it works.
func (f *followers) contacted(now micros.Timestamp, controller string) {
	f.lastContact[controller] = now
}

// notify wakes those who wait for a newer snapshot.
func (f *followers) notify() {
	for subscribed := range f.subscriptions {
		select {
		case subscribed.published <- struct{}{}:
		default:
		}
	}
}

// assign divides the teams among this controller and those that follow and were in contact recently. It returns the
// controller of each team.
func (f *followers) assign(now micros.Timestamp) map[wire.TeamName]string {
	controllers := []string{f.controller}
	for subscribed := range f.subscriptions {
		recent := now.Sub(f.lastContact[subscribed.controller]) < followerTimeout
		if recent && !slices.Contains(controllers, subscribed.controller) {
			controllers = append(controllers, subscribed.controller)
		}
	}
	slices.Sort(controllers)
	f.assignments = manager.AssignTeams(f.assignments, f.teams, controllers)
	return f.assignments
}

func (t *Term) assignTeams(now micros.Timestamp) {
	t.manager.SetTeamAssignments(t.followers.assign(now))
}

// Subscribe registers a controller that follows, until ctx ends. It returns a function that waits for a snapshot
// newer than the one of a version and returns what has changed since; that returns nil when the term or ctx has
// ended. Subscribe returns nil if that is so already.
func (t *Term) Subscribe(ctx context.Context, controller string) func(since uint64) *snapshot.Update {
	subscribed := &subscription{controller: controller, published: make(chan struct{}, 1)}
	subscribed.published <- struct{}{}
	if !t.awaitRecovery(ctx) {
		return nil
	}
	err := t.loop.Do(ctx, func(now micros.Timestamp) error {
		t.followers.subscriptions[subscribed] = true
		t.followers.contacted(now, controller)
		t.cfg.Log.Info("a controller follows", "follower", controller)
		t.assignTeams(now)
		return nil
	})
	if err != nil {
		return nil
	}
	context.AfterFunc(ctx, func() {
		t.loop.Post(context.WithoutCancel(ctx), func(now micros.Timestamp) { t.unsubscribe(now, subscribed) })
	})
	return func(since uint64) *snapshot.Update { return t.nextUpdate(ctx, subscribed, since) }
}

func (t *Term) unsubscribe(now micros.Timestamp, subscribed *subscription) {
	if !t.followers.subscriptions[subscribed] {
		return
	}
	delete(t.followers.subscriptions, subscribed)
	t.cfg.Log.Info("a controller follows no longer", "follower", subscribed.controller)
	t.assignTeams(now)
}

func (t *Term) nextUpdate(ctx context.Context, subscribed *subscription, since uint64) *snapshot.Update {
	select {
	case <-subscribed.published:
	case <-ctx.Done():
		return nil
	case <-t.loop.Stopped():
		return nil
	}
	update, err := eventloop.Ask(ctx, t.loop, func(now micros.Timestamp) (*snapshot.Update, error) {
		return t.manager.SnapshotUpdate(now, since), nil
	})
	if err != nil {
		return nil
	}
	return update
}
