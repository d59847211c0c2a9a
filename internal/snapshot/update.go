package snapshot

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Update contains the changes between the snapshots with the versions BaseVersion and Version. If BaseVersion is 0, the
// update is a full snapshot.
type Update struct {
	FencingToken    wire.FencingToken               `json:"token"`
	BaseVersion     uint64                          `json:"base,omitempty"`
	Version         uint64                          `json:"version"`
	Now             micros.Timestamp                `json:"now"`
	StoreAvailable  bool                            `json:"state_ok"`
	TeamAssignments map[wire.TeamName]string        `json:"assign"`
	QuotaHeadroom   map[wire.TeamName]QuotaHeadroom `json:"rooms,omitempty"`
	Machines        []*Machine                      `json:"machines,omitempty"`
	Jobs            []*Job                          `json:"jobs,omitempty"`
	Removed         []string                        `json:"gone,omitempty"` // IDs of machines and jobs
	CompletedRuns   []CompletedRun                  `json:"finished,omitempty"`
	NewestAttempt   wire.AttemptID                  `json:"newest,omitempty"`
}

// Replica is a follower's copy of the leader's latest snapshot. The zero value is an empty replica without a snapshot.
type Replica struct{ snapshot *Snapshot }

// Apply applies the next update and returns the resulting snapshot. If an update was missed or the term has changed,
// Apply returns nil and leaves the replica unchanged; the follower must then request a full snapshot from the leader.
func (r *Replica) Apply(update *Update) *Snapshot {
	next := &Snapshot{
		FencingToken:    update.FencingToken,
		Version:         update.Version,
		Now:             update.Now,
		StoreAvailable:  update.StoreAvailable,
		TeamAssignments: update.TeamAssignments,
		QuotaHeadroom:   update.QuotaHeadroom,
		CompletedRuns:   update.CompletedRuns,
		NewestAttempt:   update.NewestAttempt,
	}
	if update.BaseVersion != 0 {
		base := r.snapshot
		if base == nil || base.FencingToken != update.FencingToken || base.Version != update.BaseVersion {
			return nil
		}
		next.Machines, next.Jobs = base.Machines, base.Jobs
	}
	next.Machines = merge(next.Machines, update.Machines, update.Removed, func(m *Machine) string { return string(m.ID) })
	next.Jobs = merge(next.Jobs, update.Jobs, update.Removed, func(j *Job) string { return string(j.ID) })
	r.snapshot = next
	return next
}

// merge returns the list that results from an update: changed entries replace old ones with the same ID, removed
// entries are left out, and new entries are appended. It does not modify the old list.
func merge[T any](old, changed []T, removed []string, id func(T) string) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return old
	}
	replacements := make(map[string]T, len(changed))
	for _, entry := range changed {
		replacements[id(entry)] = entry
	}
	isRemoved := make(map[string]bool, len(removed))
	for _, key := range removed {
		isRemoved[key] = true
	}
	merged := make([]T, 0, len(old)+len(changed))
	for _, entry := range old {
		key := id(entry)
		if replacement, ok := replacements[key]; ok {
			merged = append(merged, replacement)
			delete(replacements, key)
		} else if !isRemoved[key] {
			merged = append(merged, entry)
		}
	}
	for _, entry := range changed {
		if _, ok := replacements[id(entry)]; ok {
			merged = append(merged, entry)
		}
	}
	return merged
}
