package manager

import (
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// progressShard is what is known of one of a job's progress records, each of which holds the done tasks and the
// placements of a range of tasks.
type progressShard struct {
	version          uint64 // 0: the record does not exist
	dirty            bool   // the record has to be written
	dirtySince       micros.Timestamp
	launchPending    bool // a launch waits for the write
	deletionInFlight bool
	placementBytes   int // encoded size of the placements that the record has to hold
	// disruptions is the record of the disrupted tasks among those of the shard.
	disruptions disruptionRecord
}

// shardKey identifies a progress shard.
type shardKey struct {
	job   wire.JobID
	index int
}

// markDirty queues the progress record of a task for writing. launch says that a launch waits for the write.
func (pipeline *writePipeline) markDirty(now micros.Timestamp, job *jobState, task int, launch bool) {
	shard := job.shardOf(task)
	shard.launchPending = shard.launchPending || launch
	if !shard.dirty {
		shard.dirty = true
		shard.dirtySince = now
		pipeline.dirtyShards = append(pipeline.dirtyShards, shardKey{job: job.id(), index: job.shardIndex(task)})
	}
}

// markWritten records that a write contains the shard as it is now.
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

// tasksOf returns the range of tasks of a shard: first to end, which is not included.
func (job *jobState) tasksOf(shardIndex int) (first, end int) {
	first = shardIndex * job.record.ShardSize
	return first, min(first+job.record.ShardSize, len(job.taskPhases))
}
