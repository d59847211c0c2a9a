package state

import (
	"strconv"
	"strings"

	"saffronbend/wire"
)

// Keys of singleton records.
const (
	// LeaderKey holds the LeaderRecord and is attached to the leader's lease. Its version is the fencing token.
	LeaderKey = "leader"
	// MachineTypesKey holds the cloud's machine types, a list of wire.MachineType, for use while the cloud is unavailable.
	MachineTypesKey = "types"
	// RebalancingKey holds the RebalancingRecord.
	RebalancingKey = "spread"
)

// Prefixes of keys with more than one record.
const (
	jobStatusPrefix = "job/"
	// OpenJobPrefix is followed by the job's ID. The key holds an OpenJobRecord.
	OpenJobPrefix = "open/"
	// ProgressPrefix is followed by the job's ID and the shard's index. The key holds a ProgressRecord.
	ProgressPrefix = "tasks/"
	// DisruptionPrefix is followed by the job's ID and the shard's index. The key holds a DisruptionRecord.
	DisruptionPrefix = "disruption/"
	// DrainPrefix is followed by the drain's name. The key holds a DrainRecord.
	DrainPrefix = "drain/"
	// DrainMachinesPrefix is followed by the list's ID and the page number. The key holds a list of machine IDs. The pages
	// are written before the DrainRecord that refers to them and have no meaning without it.
	DrainMachinesPrefix = "drain-machines/"
	// RenewerPrefix is the common prefix of ActiveRenewerKey and LastRenewerKey. Each of these keys holds a LeaderRecord
	// of the member that renews worker leases.
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

// ParseProgressKey is the inverse of ProgressKey. ok is false if the key is not a progress key.
func ParseProgressKey(key string) (jobID wire.JobID, shard int, ok bool) {
	return parseShardKey(ProgressPrefix, key)
}

// DisruptionKey returns the key of the DisruptionRecord of a shard of a job's tasks.
func DisruptionKey(jobID wire.JobID, shard int) string {
	return DisruptionPrefix + shardName(jobID, shard)
}

// ParseDisruptionKey is the inverse of DisruptionKey. ok is false if the key is not a disruption key.
func ParseDisruptionKey(key string) (jobID wire.JobID, shard int, ok bool) {
	return parseShardKey(DisruptionPrefix, key)
}

// shardName returns the name of a shard of a job's tasks. It has the form of a task name; that form covers every shard
// index, because a job never has more shards than tasks.
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

// DrainMachinesKey returns the key of a page of a drain's list of machines. Each list has its own ID, which is never
// reused, so that a delayed write can't modify the list of another drain.
func DrainMachinesKey(listID string, page int) string {
	return DrainMachinesPrefix + listID + "/" + strconv.Itoa(page)
}

// ParseDrainMachinesKey is the inverse of DrainMachinesKey. ok is false if the key is not a page of a machine list.
func ParseDrainMachinesKey(key string) (listID string, page int, ok bool) {
	name, found := strings.CutPrefix(key, DrainMachinesPrefix)
	slash := strings.LastIndexByte(name, '/')
	if !found || slash < 0 {
		return "", 0, false
	}
	page, err := strconv.Atoi(name[slash+1:])
	return name[:slash], page, err == nil
}

// ActiveRenewerKey returns the key that marks a member as currently renewing worker leases on behalf of the leader. The
// key is attached to a lease, so that it exists only while the member does so.
func ActiveRenewerKey(member string) string { return activeRenewerPrefix + member }

// LastRenewerKey returns the key whose version shows when the member last began to renew worker leases. The key is not
// attached to a lease and remains after the member has stopped.
func LastRenewerKey(member string) string { return lastRenewerPrefix + member }

// IsActiveRenewerKey reports whether the key is the ActiveRenewerKey of any member.
func IsActiveRenewerKey(key string) bool { return strings.HasPrefix(key, activeRenewerPrefix) }
