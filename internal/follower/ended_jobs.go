package follower

import (
	"maps"
	"slices"
	"sync"

	"saffronbend/internal/micros"
	"saffronbend/internal/openjobs"
	"saffronbend/wire"
)

// endedJobs is what one watch of the open-job records has found of jobs in a final state. It decides which commands
// must accompany the renewal of a worker's lease, and whether the lease may be renewed at all. It is safe for
// concurrent use.
type endedJobs struct {
	mu       sync.Mutex                 // guards the following fields
	ended    map[wire.JobID]bool        // jobs in a final state
	resolved openjobs.ResolvedTimestamp // the time up to which the ended jobs are known
	// lateLaunches contains the recorded attempts of cancelled jobs whose launch may still arrive, by machine.
	lateLaunches map[wire.MachineID][]lateLaunch
}

// decision is what the ended jobs demand of the response to a worker's heartbeat.
type decision struct {
	commands []wire.Command
	launched []lateLaunch // the attempts that the commands launch and stop
	// tooLate is not nil if the worker's lease must not be renewed: it is too late to launch and stop this attempt, and
	// only the end of the worker's incarnation ensures that a late launch can't start it.
	tooLate *lateLaunch
}

func newEndedJobs() *endedJobs {
	return &endedJobs{ended: map[wire.JobID]bool{}, lateLaunches: map[wire.MachineID][]lateLaunch{}}
}

// contains reports whether a job is known to have ended.
func (j *endedJobs) contains(job wire.JobID) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended[job]
}

// resolvedAt returns the time up to which the ended jobs are known, which is unknown if no update was applied.
func (j *endedJobs) resolvedAt() micros.OptionalTimestamp {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.resolved.At()
}

// fresh reports whether the ended jobs are known up to a time that is less than maxAge before now.
func (j *endedJobs) fresh(now micros.Timestamp, maxAge micros.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.resolved.Fresh(now, maxAge)
}

// apply adds the jobs that were found to have ended in an update of the open-job records, with their late launches, and
// removes those whose records were deleted. A job's records are deleted only once none of its attempts can exist any
// more.
func (j *endedJobs) apply(ended []wire.JobID, launches []lateLaunch, update openjobs.Update) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, job := range ended {
		j.ended[job] = true
	}
	for _, launch := range launches {
		j.lateLaunches[launch.machine] = append(j.lateLaunches[launch.machine], launch)
	}
	for _, job := range j.removedBy(update) {
		delete(j.ended, job)
		for machine, known := range j.lateLaunches {
			j.lateLaunches[machine] = slices.DeleteFunc(known, func(l lateLaunch) bool { return l.job == job })
		}
	}
	j.resolved.Advance(update.RequestedAt)
}

// removedBy returns the ended jobs whose records were deleted according to an update.
func (j *endedJobs) removedBy(update openjobs.Update) []wire.JobID {
	if update.CompleteAt == 0 {
		return update.Removed
	}
	removed := maps.Clone(j.ended)
	for _, item := range update.Records {
		delete(removed, openjobs.JobIDFromKey(item.Key))
	}
	return slices.Collect(maps.Keys(removed))
}

// decide decides on the response to a worker's heartbeat under the given fencing token.
//
// A launch is fenced off if the worker has seen a higher token than the attempt's. If only the given token is higher,
// the response itself fences off the launch, and stops the attempt in case it has just been launched. That is never too
// late.
func (j *endedJobs) decide(now micros.Timestamp, token wire.FencingToken, heartbeat *wire.Heartbeat) decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	decided := decision{commands: j.stopsOfListed(heartbeat)}
	for _, launch := range j.lateLaunches[heartbeat.Machine] {
		if launch.incarnation != heartbeat.Incarnation || launch.arrived(heartbeat) ||
			launch.fencedBy(heartbeat.FencingToken) {
			continue
		}
		if !launch.fencedBy(token) {
			if !launch.stoppable(now) {
				return decision{tooLate: &launch}
			}
			decided.launched = append(decided.launched, launch)
			decided.commands = append(decided.commands,
				wire.Command{Op: wire.OpStart, Task: launch.task, Attempt: launch.attempt})
		}
		decided.commands = append(decided.commands, wire.StopCommand(launch.task, launch.attempt, 0))
	}
	return decided
}

// stopsOfListed returns commands to stop the tasks of ended jobs that a worker's heartbeat lists.
func (j *endedJobs) stopsOfListed(heartbeat *wire.Heartbeat) []wire.Command {
	commands := []wire.Command{}
	for _, task := range heartbeat.Tasks {
		job, _, ok := wire.ParseTaskName(task.Task)
		if ok && j.ended[job] && task.State != wire.TaskExited {
			commands = append(commands, wire.StopCommand(task.Task, task.Attempt, 0))
		}
	}
	return commands
}
