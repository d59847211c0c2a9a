package manager

import (
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// progressShard describes one of a job's progress records. Each record holds the done tasks and the placements of a
// range of the job's tasks.
type progressShard struct {
	version          uint64 // 0: the record does not exist
	dirty            bool   // the record must be written
	dirtySince       micros.Timestamp
	launchPending    bool // a launch waits until the record is written
	deletionInFlight bool
	placementBytes   int // encoded size of the placements that the record must hold
	// disruptions is the record of the disrupted tasks in the shard's range.
	disruptions disruptionRecord
}

// shardKey identifies a progress shard.
type shardKey struct {
	job   wire.JobID
	index int
}

// markDirty queues the progress record of a task for writing. launch says whether a launch waits for the write.
func (pipeline *writePipeline) markDirty(now micros.Timestamp, job *jobState, task int, launch bool) {
	shard := job.shardOf(task)
	shard.launchPending = shard.launchPending || launch
	if !shard.dirty {
		shard.dirty = true
		shard.dirtySince = now
		pipeline.dirtyShards = append(pipeline.dirtyShards, shardKey{job: job.id(), index: job.shardIndex(task)})
	}
}

// markWritten records that a write contains the current state of the shard.
func (shard *progressShard) markWritten() { shard.dirty, shard.launchPending = false, false }

// recordDeletions returns the changes that delete a shard's records.
func (shard *progressShard) recordDeletions(key shardKey) []RecordChange {
	var changes []RecordChange
	if shard.version != 0 {
		changes = append(changes, RecordChange{Key: state.ProgressKey(key.job, key.index), Version: shard.version})
	}
	if shard.disruptions.version != 0 {
		changes = append(changes,
			RecordChange{Key: state.DisruptionKey(key.job, key.index), Version: shard.disruptions.version})
	}
	return changes
}

// taskRange returns the range of the tasks in a shard; end is exclusive.
func (job *jobState) taskRange(shardIndex int) (first, end int) {
	first = shardIndex * job.record.ShardSize
	return first, min(first+job.record.ShardSize, len(job.taskPhases))
}
