package manager

import "saffronbend/wire"

// maxTombstones bounds the number of tombstones on a machine, and so the length of its heartbeats. A machine that
// reaches the limit gets its launches in heartbeat responses, which do not arrive late.
const maxTombstones = 128

// attemptKey identifies an attempt on a machine. The task is part of the key because the tasks of a gang share an
// attempt identifier.
type attemptKey struct {
	task    string
	attempt wire.AttemptID
}

// attemptKeyOf returns the key of the attempt in a task status.
func attemptKeyOf(status *wire.TaskStatus) attemptKey {
	return attemptKey{task: status.Task, attempt: status.Attempt}
}

// tombstone marks an exited attempt that its agent must keep listing. If the agent cleared the attempt, a late copy of
// the push that launched it would start it again, although its task may be running elsewhere or its job be cancelled.
type tombstone struct {
	job *jobState
	// clearableWhenJobDone: the attempt may be cleared once its job is done, since it can no longer be cancelled then.
	clearableWhenJobDone bool
}

// addTombstone adds a tombstone for an exited attempt whose launch was pushed. If the attempt's team has a limit, a
// second start could exceed it, so the attempt is never cleared.
func (m *Manager) addTombstone(attempt *taskAttempt, done bool) {
	if attempt.launch.push == pushNone {
		return
	}
	attempt.machine.tombstones[attempt.key()] = tombstone{
		job:                  attempt.job,
		clearableWhenJobDone: done && !attempt.launch.mayArriveByPush() && !m.quota.limited(attempt.spec().Team),
	}
}

// clearTombstone reports whether the agent may clear an exited attempt, and if so removes the attempt's tombstone.
func (machine *machineState) clearTombstone(key attemptKey) bool {
	found, ok := machine.tombstones[key]
	if ok && (!found.clearableWhenJobDone || found.job.finalState != wire.JobDone) {
		return false
	}
	delete(machine.tombstones, key)
	return true
}
