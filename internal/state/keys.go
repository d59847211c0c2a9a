package state

import (
	"strconv"
	"strings"

	"saffronbend/wire"
)

// Keys that exist once.
const (
	// LeaderKey holds the LeaderRecord and is attached to the leader's lease. Its version is the fencing token.
	LeaderKey = "leader"
	// MachineTypesKey holds the cloud's machine types, a list of wire.MachineType, for when the cloud can't be asked.
	MachineTypesKey = "types"
	// RebalancingKey holds the RebalancingRecord.
	RebalancingKey = "spread"
)

// Prefixes of the keys of which there are many.
const (
	jobStatusPrefix = "job/"
	// OpenJobPrefix is followed by the job's ID: an OpenJobRecord.
	OpenJobPrefix = "open/"
	// ProgressPrefix is followed by the job's ID and the shard: a ProgressRecord.
	ProgressPrefix = "tasks/"
	// DisruptionPrefix is followed by the job's ID and the shard: a DisruptionRecord.
	DisruptionPrefix = "disruption/"
	// DrainPrefix is followed by the drain's name: a DrainRecord.
	DrainPrefix = "drain/"
	// DrainMachinesPrefix is followed by the list's ID and the page: a list of machine IDs. The pages are written before
	// the drain itself; without that they mean nothing.
	DrainMachinesPrefix = "drain-machines/"
	// RenewerPrefix is that of ActiveRenewerKey and LastRenewerKey, each with a LeaderRecord of the member.
	RenewerPrefix       = "care/"
	activeRenewerPrefix = RenewerPrefix + "now/"
	lastRenewerPrefix   = RenewerPrefix + "last/"
)

// JobStatusKey returns the key of a job's JobStatusRecord.
func JobStatusKey(jobID wire.JobID) string { return jobStatusPrefix + string(jobID) }

// OpenJobKey returns the key of a job's OpenJobRecord.
func OpenJobKey(jobID wire.JobID) string { return OpenJobPrefix + string(jobID) }

// ProgressKey returns the key of the ProgressRecord of a shard of a job's tasks.
func ProgressKey(jobID wire.JobID, shard int) string { return ProgressPrefix + shardName(jobID, shard) }

// ParseProgressKey is the inverse of ProgressKey. ok is false for any other key.
func ParseProgressKey(key string) (jobID wire.JobID, shard int, ok bool) {
	return parseShardKey(ProgressPrefix, key)
}

// DisruptionKey returns the key of the DisruptionRecord of a shard of a job's tasks.
func DisruptionKey(jobID wire.JobID, shard int) string {
	return DisruptionPrefix + shardName(jobID, shard)
}

// ParseDisruptionKey is the inverse of DisruptionKey. ok is false for any other key.
func ParseDisruptionKey(key string) (jobID wire.JobID, shard int, ok bool) {
	return parseShardKey(DisruptionPrefix, key)
}

// shardName names a shard of a job's tasks as a task is named: there are no more shards than tasks.
func shardName(jobID wire.JobID, shard int) string { return wire.TaskName(jobID, shard) }

func parseShardKey(prefix, key string) (jobID wire.JobID, shard int, ok bool) {
	name, found := strings.CutPrefix(key, prefix)
	if !found {
		return "", 0, false
	}
	return wire.ParseTaskName(name)
}

// DrainKey returns the key of a drain's DrainRecord.
func DrainKey(name string) string { return DrainPrefix + name }

// DrainMachinesKey returns the key of a page of a drain's list of machines. Lists have IDs of their own, which are
// never used again: a write that is carried out late changes no other drain.
func DrainMachinesKey(listID string, page int) string {
	return DrainMachinesPrefix + listID + "/" + strconv.Itoa(page)
}

// ParseDrainMachinesKey is the inverse of DrainMachinesKey. ok is false for any other key.
func ParseDrainMachinesKey(key string) (listID string, page int, ok bool) {
	name, found := strings.CutPrefix(key, DrainMachinesPrefix)
	slash := strings.LastIndexByte(name, '/')
	if !found || slash < 0 {
		return "", 0, false
	}
	page, err := strconv.Atoi(name[slash+1:])
	return name[:slash], page, err == nil
}

// ActiveRenewerKey returns the key that exists, attached to a lease, while a member renews worker leases in the
// leader's stead.
func ActiveRenewerKey(member string) string { return activeRenewerPrefix + member }

// LastRenewerKey returns the key that stays afterwards: its version says when the member last began to renew worker
// leases.
func LastRenewerKey(member string) string { return lastRenewerPrefix + member }

// IsActiveRenewerKey reports whether a key is some member's ActiveRenewerKey.
func IsActiveRenewerKey(key string) bool { return strings.HasPrefix(key, activeRenewerPrefix) }
