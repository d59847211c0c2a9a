package fake

import (
	"time"

	"saffronbend/wire"
)

// workerFaults are the faults that are injected into a worker. Its goroutine owns them.
type workerFaults struct {
	failEveryTask bool
	// slowdown is how many times as long everything takes; 0: as long as usual.
	slowdown float64
	// heartbeatCopyDelay and commandCopyDelay are how late copies of heartbeats and of pushed commands come; 0: none do.
	heartbeatCopyDelay, commandCopyDelay time.Duration
	// toRecord is how many heartbeats are still to be recorded, recorded are those that were.
	toRecord int
	recorded [][]byte
}

// Hang stops the worker and its tasks until Resume. When its lease expires meanwhile, its tasks are killed all the
// same.
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

// ReceiveLaunch has the machine start an attempt of a task that a controller launched under a fencing token.
func (w *Worker) ReceiveLaunch(task string, attempt wire.AttemptID, fencingToken wire.FencingToken) {
	w.inbox <- func() {
		w.acceptPush(wire.CommandPush{FencingToken: fencingToken, Incarnation: w.incarnation,
			Commands: []wire.Command{{Op: wire.OpStart, Task: task, Attempt: attempt}}})
	}
}

// FailEveryTask has every task that starts from now on exit with an error.
func (w *Worker) FailEveryTask() { w.inbox <- func() { w.faults.failEveryTask = true } }

// SetSlowdown has everything that begins on the machine from now on take so many times as long: fetching images,
// running and saving checkpoints.
func (w *Worker) SetSlowdown(times float64) { w.inbox <- func() { w.faults.slowdown = times } }

// DuplicateHeartbeats has a copy of every heartbeat arrive late as well, also once the machine is gone.
func (w *Worker) DuplicateHeartbeats(delay time.Duration) {
	w.inbox <- func() { w.faults.heartbeatCopyDelay = delay }
}

// DuplicateCommands has a copy of every push that is accepted arrive late as well.
func (w *Worker) DuplicateCommands(delay time.Duration) {
	w.inbox <- func() { w.faults.commandCopyDelay = delay }
}

// RecordHeartbeats records copies of the next heartbeats, for DeliverRecordedHeartbeats.
func (w *Worker) RecordHeartbeats(heartbeats int) {
	w.inbox <- func() { w.faults.toRecord = heartbeats }
}

// DeliverRecordedHeartbeats has the recorded copies arrive at every controller.
func (w *Worker) DeliverRecordedHeartbeats() {
	w.inbox <- func() {
		for _, body := range w.faults.recorded {
			for _, controller := range w.config.Controllers {
				go w.sendCopy(controller.Address, body)
			}
		}
		w.faults.toRecord, w.faults.recorded = 0, nil
	}
}

// AnnounceReclaim has the cloud announce that it reclaims the machine after the given time.
func (w *Worker) AnnounceReclaim(in time.Duration) {
	at := time.Now().Add(in)
	w.inbox <- func() {
		w.reclaimAt = at
		w.config.Checker.ReclaimAnnounced(w.machine.Machine)
		w.changed = true
	}
}

// slowed returns how long something takes on the machine that usually takes so long.
func (w *Worker) slowed(usual time.Duration) time.Duration {
	if w.faults.slowdown == 0 {
		return usual
	}
	return time.Duration(w.faults.slowdown * float64(usual))
}
