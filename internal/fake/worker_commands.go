package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

// resourceTolerance is the rounding error that sums of processors and of memory may have.
const resourceTolerance = 1e-9

// servePush serves a command push from a controller.
func (w *Worker) servePush(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire.PathCommands {
		writeJSON(rw, http.StatusNotFound, wire.ErrorResponse{Error: messageNoPath})
		return
	}
	var push wire.CommandPush
	if json.NewDecoder(r.Body).Decode(&push) != nil || push.FencingToken == 0 || push.Incarnation == 0 {
		writeJSON(rw, http.StatusBadRequest, wire.ErrorResponse{Error: messageMalformed})
		return
	}
	w.commandPushes.Add(1)
	type response struct {
		status int
		body   []byte
	}
	responses := make(chan response, 1)
	// A worker that hangs handles the push when it resumes, even if the request has timed out by then.
	enqueued := w.enqueue(r.Context(), func() {
		status := http.StatusConflict
		if w.acceptPush(push) {
			status = http.StatusOK
			w.duplicatePush(push)
		}
		responses <- response{status, w.encodeHeartbeat()}
	})
	if !enqueued {
		return
	}
	select {
	case response := <-responses:
		rw.WriteHeader(response.status)
		_, _ = rw.Write(response.body) // an error means that the client has disconnected
	case <-r.Context().Done():
	}
}

// duplicatePush schedules the delivery of a duplicate of a command push, if that fault is injected. The duplicate is
// delivered even if the request has ended by then.
func (w *Worker) duplicatePush(push wire.CommandPush) {
	if w.faults.commandDuplicateDelay > 0 {
		time.AfterFunc(w.faults.commandDuplicateDelay, func() { w.inbox <- func() { w.acceptPush(push) } })
	}
}

// acceptPush executes pushed commands. It reports false, and executes nothing, if the push has a lower fencing token
// than the worker's or is for another incarnation.
func (w *Worker) acceptPush(push wire.CommandPush) bool {
	if push.FencingToken < w.fencingToken || push.Incarnation != w.incarnation {
		return false
	}
	w.adoptToken(time.Now(), push.FencingToken)
	w.execute(push.Commands)
	for _, task := range w.tasks {
		w.advanceTask(time.Now(), task)
	}
	return true
}

// adoptToken adopts a fencing token if it is higher than the worker's. That counts as a change of the worker's state,
// which makes a heartbeat due soon, at most once in half of the lease's duration.
func (w *Worker) adoptToken(now time.Time, token wire.FencingToken) {
	if token <= w.fencingToken {
		return
	}
	w.fencingToken = token
	if now.Sub(w.tokenChangedAt) > w.config.LeaseDuration/2 {
		w.tokenChangedAt = now
		w.stateChanged = true
	}
}

// execute executes commands. Executing a command again has no effect.
func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		i := slices.IndexFunc(w.tasks, func(task *workerTask) bool {
			return task.name == command.Task && task.attempt == command.Attempt
		})
		switch {
		case command.Op == wire.OpStart && i < 0:
			w.acceptTask(command)
		case command.Op == wire.OpStop && i >= 0 && w.tasks[i].state != wire.TaskExited:
			w.stopTask(w.tasks[i], command)
		case command.Op == wire.OpClear && i >= 0 && w.tasks[i].state == wire.TaskExited:
			w.tasks = slices.Delete(w.tasks, i, i+1)
		}
	}
}

// acceptTask adds a task and begins to fetch the task's image. If the machine cannot run the task, the task exits
// immediately.
func (w *Worker) acceptTask(command wire.Command) {
	w.stateChanged = true
	jobID, index, _ := wire.ParseTaskName(command.Task) // a malformed name has no job ID, and is rejected below as unknown
	task := &workerTask{name: command.Task, id: invariant.Task{Job: jobID, Index: index}, attempt: command.Attempt,
		state: wire.TaskFetching}
	w.tasks = append(w.tasks, task)
	workload, known := w.config.Checker.Workload(jobID)
	if !known {
		w.exitTask(task, wire.ExitUnknownTask, false)
		return
	}
	task.job = workload.Job
	if reason := w.admissionFailure(task); reason != "" {
		w.exitTask(task, reason, false)
		return
	}
	if _, ok := w.images[task.job.Image]; !ok {
		machineType := w.config.MachineTypes[w.machine.Type]
		w.images[task.job.Image] = time.Now().Add(w.applySlowdown(seconds(task.job.ImageGB / machineType.FetchGBPS)))
	}
	if !time.Now().Before(w.images[task.job.Image]) {
		w.config.Checker.TaskLaunched(task.id)
	}
}

// admissionFailure returns why the machine cannot run a task in addition to its other tasks, or an empty reason if it
// can.
func (w *Worker) admissionFailure(task *workerTask) wire.ExitReason {
	cpus, memoryGB := task.job.CPUs, task.job.MemoryGB
	for _, other := range w.tasks {
		if other == task || other.state == wire.TaskExited {
			continue
		}
		if other.name == task.name {
			return wire.ExitConflictingAttempt
		}
		cpus, memoryGB = cpus+other.job.CPUs, memoryGB+other.job.MemoryGB
	}
	machineType := w.config.MachineTypes[w.machine.Type]
	if cpus > machineType.CPUs+resourceTolerance || memoryGB > machineType.MemoryGB+resourceTolerance {
		return wire.ExitInsufficientResources
	}
	return ""
}

// stopTask stops a task. A running task saves a checkpoint first if the command's grace period is long enough.
func (w *Worker) stopTask(task *workerTask, command wire.Command) {
	grace := 0.0
	if command.GraceS != nil {
		grace = *command.GraceS
	}
	if task.onMachine {
		w.config.Checker.StopCommanded(w.machine.Machine, task.id)
	}
	savesCheckpoints := task.job.CheckpointIntervalS > 0
	if task.state == wire.TaskRunning && savesCheckpoints && grace >= task.job.CheckpointSaveS {
		task.state = wire.TaskCheckpointing
		if task.inGang() {
			w.config.Gangs.stopCommanded(task)
		}
		task.stateTime = time.Now().Add(w.applySlowdown(seconds(task.job.CheckpointSaveS)))
		w.stateChanged = true
		return
	}
	if task.state != wire.TaskCheckpointing || grace == 0 {
		w.exitTask(task, wire.ExitStopped, false)
	}
}
