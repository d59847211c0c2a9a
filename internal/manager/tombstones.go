package manager

import "saffronbend/wire"

// maxTombstones bounds the tombstones of a machine, and so the length of its heartbeats: one with more gets its
// launches in answers to them, which do not arrive late.
const maxTombstones = 128

// attemptKey identifies an attempt on a machine: the tasks of a gang share its identifier.
type attemptKey struct {
	task    string
	attempt wire.AttemptID
}

// keyOf returns the key of the attempt that an agent lists.
func keyOf(status *wire.TaskStatus) attemptKey {
	return attemptKey{task: status.Task, attempt: status.Attempt}
}

// tombstone is an exited attempt that its agent must go on knowing: once cleared, a late copy of the push that launched
// it would start it again, while its task may be elsewhere or its job be cancelled.
type tombstone struct {
	job *jobState
	// clearableWhenJobDone: it may be cleared when its job is done, which cannot be cancelled any more.
	clearableWhenJobDone bool
}

// addTombstone keeps an exited attempt if its launch was pushed. Where its team has a limit, a second start would
// break that, so it is never cleared.
func (m *Manager) addTombstone(attempt *taskAttempt, done bool) {
	if attempt.launch.push == pushNone {
		return
	}
	attempt.machine.tombstones[attempt.key()] = tombstone{
		job:                  attempt.job,
		clearableWhenJobDone: done && !attempt.launch.mayArriveByPush() && !m.quota.limited(attempt.spec().Team),
	}
}

// clearTombstone reports whether the agent may clear an exited attempt, and removes its tombstone then.
func (machine *machineState) clearTombstone(key attemptKey) bool {
	found, ok := machine.tombstones[key]
	if ok && (!found.clearableWhenJobDone || found.job.finalState != wire.JobDone) {
		return false
	}
	delete(machine.tombstones, key)
	return true
}
