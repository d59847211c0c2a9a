package fake

import (
	"time"

	"saffronbend/wire"
)

// workerFaults are the faults that are injected into a worker. The worker's goroutine owns them.
type workerFaults struct {
	failAllTasks bool
	// slowdown is the factor by which tasks and fetches of images take longer; 0 means no slowdown.
	slowdown float64
	// heartbeatDuplicateDelay and commandDuplicateDelay are the delays of duplicates of heartbeats and of command pushes;
	// 0 means no duplicates.
	heartbeatDuplicateDelay, commandDuplicateDelay time.Duration
	// heartbeatsToRecord is how many further heartbeats are to be recorded. recordedHeartbeats are the bodies of those
	// that have been recorded.
	heartbeatsToRecord int
	recordedHeartbeats [][]byte
}

// Hang suspends the worker and its tasks until Resume is called. If the worker's lease expires meanwhile, its tasks are
// killed nevertheless.
func (w *Worker) Hang() {
	resumed := make(chan struct{})
	w.resumed = resumed
	w.inbox <- func() {
		select {
		case <-resumed:
		case <-time.After(time.Until(w.leaseRenewedAt.Add(w.config.LeaseDuration)) + time.Millisecond):
			w.expireLease(time.Now())
			<-resumed
		}
	}
}

// Resume ends a hang.
func (w *Worker) Resume() {
	if w.resumed != nil {
		close(w.resumed)
		w.resumed = nil
	}
}

// DeliverStartCommand makes the worker execute a command to start an attempt of a task, as if a controller with the
// given fencing token had pushed it.
func (w *Worker) DeliverStartCommand(task string, attempt wire.AttemptID, fencingToken wire.FencingToken) {
	w.inbox <- func() {
		w.acceptPush(wire.CommandPush{FencingToken: fencingToken, Incarnation: w.incarnation,
			Commands: []wire.Command{{Op: wire.OpStart, Task: task, Attempt: attempt}}})
	}
}

// FailAllTasks sets whether every task that starts from now on exits with an error.
func (w *Worker) FailAllTasks(fail bool) { w.inbox <- func() { w.faults.failAllTasks = fail } }

// SetSlowdown makes the fetches of images, the runs of tasks and the saves of checkpoints that begin from now on take
// longer by a factor.
func (w *Worker) SetSlowdown(factor float64) { w.inbox <- func() { w.faults.slowdown = factor } }

// DuplicateHeartbeats makes a duplicate of every heartbeat arrive after a delay, also when the machine is deleted by
// then.
func (w *Worker) DuplicateHeartbeats(delay time.Duration) {
	w.inbox <- func() { w.faults.heartbeatDuplicateDelay = delay }
}

// DuplicateCommands makes a duplicate of every accepted command push arrive after a delay.
func (w *Worker) DuplicateCommands(delay time.Duration) {
	w.inbox <- func() { w.faults.commandDuplicateDelay = delay }
}

// RecordHeartbeats records the given number of the next heartbeats, for ReplayRecordedHeartbeats.
func (w *Worker) RecordHeartbeats(count int) {
	w.inbox <- func() { w.faults.heartbeatsToRecord = count }
}

// ReplayRecordedHeartbeats sends the recorded heartbeats to every controller and ends the recording.
func (w *Worker) ReplayRecordedHeartbeats() {
	w.inbox <- func() {
		for _, body := range w.faults.recordedHeartbeats {
			for _, controller := range w.config.Controllers {
				go w.sendDuplicate(controller.Address, body)
			}
		}
		w.faults.heartbeatsToRecord, w.faults.recordedHeartbeats = 0, nil
	}
}

// AnnounceReclaim makes the cloud announce that it reclaims the machine after the given time. It does not reclaim the
// machine.
func (w *Worker) AnnounceReclaim(after time.Duration) {
	at := time.Now().Add(after)
	w.inbox <- func() {
		w.reclaimAt = at
		w.config.Checker.ReclaimAnnounced(w.machine.Machine)
		w.stateChanged = true
	}
}

// applySlowdown returns how long an operation with the given usual duration takes on the machine.
func (w *Worker) applySlowdown(usual time.Duration) time.Duration {
	if w.faults.slowdown == 0 {
		return usual
	}
	return time.Duration(w.faults.slowdown * float64(usual))
}
