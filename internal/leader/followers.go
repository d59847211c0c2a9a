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

// followerTimeout is how long after its last lease request or subscription a follower remains assigned to its teams.
const followerTimeout = 1500 * micros.Millisecond

// followers tracks the controllers that follow this term's leader, and assigns teams to controllers: each controller
// places the tasks of its teams. It is owned by the event loop's goroutine.
type followers struct {
	controller    string // this controller, which leads
	teams         []wire.TeamName
	subscriptions map[*subscription]bool
	lastContact   map[string]micros.Timestamp // time of the last contact with each controller
	assignments   map[wire.TeamName]string    // controller by team
}

// subscription is a follower's subscription to snapshots.
type subscription struct {
	controller string
	updated    chan struct{} // has capacity 1, and holds an element if there may be a newer snapshot
}

func newFollowers(cfg *settings.Settings) *followers {
	var teams []wire.TeamName
	for _, team := range cfg.Deployment.Teams {
		teams = append(teams, wire.TeamName(team.Name))
	}
	return &followers{
		controller:    cfg.Member,
		teams:         teams,
		subscriptions: map[*subscription]bool{},
		lastContact:   map[string]micros.Timestamp{},
	}
}

// recordContact records that a controller was in contact with this leader at time now.
func (f *followers) recordContact(now micros.Timestamp, controller string) {
	f.lastContact[controller] = now
}

// notify wakes the subscribers that wait for a newer snapshot. It never blocks.
func (f *followers) notify() {
	for sub := range f.subscriptions {
		select {
		case sub.updated <- struct{}{}:
		default:
		}
	}
}

// assign distributes the teams among this controller and the followers that were in contact within followerTimeout. It
// returns the controller of each team.
func (f *followers) assign(now micros.Timestamp) map[wire.TeamName]string {
	controllers := []string{f.controller}
	for sub := range f.subscriptions {
		recent := now.Sub(f.lastContact[sub.controller]) < followerTimeout
		if recent && !slices.Contains(controllers, sub.controller) {
			controllers = append(controllers, sub.controller)
		}
	}
	slices.Sort(controllers)
	f.assignments = manager.AssignTeams(f.assignments, f.teams, controllers)
	return f.assignments
}

func (t *Term) assignTeams(now micros.Timestamp) {
	t.manager.SetTeamAssignments(t.followers.assign(now))
}

// Subscribe registers a controller as a follower until ctx ends. It returns a function that waits for a snapshot newer
// than version since and returns the changes from that version to the newest. The function returns nil once the term
// or ctx has ended. Subscribe returns nil if either has ended already.
func (t *Term) Subscribe(ctx context.Context, controller string) func(since uint64) *snapshot.Update {
	sub := &subscription{controller: controller, updated: make(chan struct{}, 1)}
	sub.updated <- struct{}{}
	if !t.awaitRecovery(ctx) {
		return nil
	}
	err := t.loop.Do(ctx, func(now micros.Timestamp) error {
		t.followers.subscriptions[sub] = true
		t.followers.recordContact(now, controller)
		t.cfg.Log.Info("follower subscribed", "follower", controller)
		t.assignTeams(now)
		return nil
	})
	if err != nil {
		return nil
	}
	context.AfterFunc(ctx, func() {
		t.loop.Post(context.WithoutCancel(ctx), func(now micros.Timestamp) { t.unsubscribe(now, sub) })
	})
	return func(since uint64) *snapshot.Update { return t.nextUpdate(ctx, sub, since) }
}

func (t *Term) unsubscribe(now micros.Timestamp, sub *subscription) {
	if !t.followers.subscriptions[sub] {
		return
	}
	delete(t.followers.subscriptions, sub)
	t.cfg.Log.Info("follower unsubscribed", "follower", sub.controller)
	t.assignTeams(now)
}

func (t *Term) nextUpdate(ctx context.Context, sub *subscription, since uint64) *snapshot.Update {
	select {
	case <-sub.updated:
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
