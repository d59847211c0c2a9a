package manager

import (
	"testing"

	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// After each update, a follower's replica equals the leader's snapshot, even if the follower has missed snapshots.
func TestReplicaEqualsTheSnapshot(t *testing.T) {
	h := newHarness(t, nil, nil)
	var replica snapshot.Replica
	since := uint64(0)
	catchUp := func() *snapshot.Snapshot {
		snapshot := h.m.Snapshot(h.now)
		update := h.m.SnapshotUpdate(h.now, since)
		got := replica.Apply(update)
		since = update.Version
		h.want(len(got.Machines), len(snapshot.Machines))
		for i := range snapshot.Machines {
			h.want(got.Machines[i].ID, snapshot.Machines[i].ID)
			h.want(got.Machines[i].EqualForSchedulers(snapshot.Machines[i]), true)
		}
		h.want(len(got.Jobs), len(snapshot.Jobs))
		return got
	}
	h.start("n-2-a", "n-1-a")
	h.submit("run-1", 3, nil)
	catchUp()
	h.grant("run-1", "n-1-a", 2)
	// No snapshot contains the leases of the attempts yet.
	h.want(h.m.SnapshotUpdate(h.now, since).NewestAttempt, wire.AttemptID(0))
	h.m.Snapshot(h.now) // the follower misses this snapshot
	h.start("n-3-a")
	got := catchUp()
	h.want(got.NewestAttempt, wire.AttemptID(firstAttempt+1))
	h.want(len(got.Machines[0].Leases[0].Leases), 2)
	h.m.MachinesDeleted(h.now, []wire.MachineID{"n-2-a"})
	h.submit("run-2", 1, nil)
	catchUp()
	h.want(len(h.m.SnapshotUpdate(h.now, since).Machines), 0) // nothing has changed
	h.want(replica.Apply(&snapshot.Update{FencingToken: token, BaseVersion: since + 1, Version: since + 2}) == nil, true)
}
