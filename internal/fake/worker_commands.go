package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

// rounding is what sums of processors and of memory may be off by.
const rounding = 1e-9

// servePush serves the push of commands by a controller.
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
	// A worker that hangs accepts the push when it resumes, though nobody waits for the response any more.
	enqueued := w.enqueue(r.Context(), func() {
		status := http.StatusConflict
		if w.acceptPush(push) {
			status = http.StatusOK
			w.duplicatePush(push)
		}
		responses <- response{status, w.heartbeat()}
	})
	if !enqueued {
		return
	}
	select {
	case response := <-responses:
		rw.WriteHeader(response.status)
		_, _ = rw.Write(response.body) // an error means that the client has gone
	case <-r.Context().Done():
	}
}

// duplicatePush has a copy of a push arrive late, if that fault is injected. The copy outlives the request.
func (w *Worker) duplicatePush(push wire.CommandPush) {
	if w.faults.commandCopyDelay > 0 {
		time.AfterFunc(w.faults.commandCopyDelay, func() { w.inbox <- func() { w.acceptPush(push) } })
	}
}

// acceptPush executes pushed commands and reports whether their fencing token and incarnation allowed it.
func (w *Worker) acceptPush(push wire.CommandPush) bool {
	if push.FencingToken < w.fencingToken || push.Incarnation != w.incarnation {
		return false
	}
	w.adoptToken(time.Now(), push.FencingToken)
	w.execute(push.Commands)
	for _, task := range w.tasks {
		w.advance(time.Now(), task)
	}
	return true
}

// adoptToken adopts a fencing token that is higher. That counts as a change at most once in half of the lease.
func (w *Worker) adoptToken(now time.Time, token wire.FencingToken) {
	if token <= w.fencingToken {
		return
	}
	w.fencingToken = token
	if now.Sub(w.tokenChangedAt) > w.config.LeaseDuration/2 {
		w.tokenChangedAt = now
		w.changed = true
	}
}

// execute executes commands. A command that has been executed before changes nothing.
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

// acceptTask adds a task, and begins to fetch its image. It exits at once if the machine can't run it.
func (w *Worker) acceptTask(command wire.Command) {
	w.changed = true
	jobID, index, _ := wire.ParseTaskName(command.Task) // of a malformed name, the job is not known
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
		w.images[task.job.Image] = time.Now().Add(w.slowed(seconds(task.job.ImageGB / machineType.FetchGBPS)))
	}
}

// admissionFailure returns why the machine can't run a task beside its other tasks, or nothing if it can.
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
	if cpus > machineType.CPUs+rounding || memoryGB > machineType.MemoryGB+rounding {
		return wire.ExitInsufficientResources
	}
	return ""
}

// stopTask stops a task. It saves a checkpoint first if it runs and the command leaves it the time.
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
		task.until = time.Now().Add(w.slowed(seconds(task.job.CheckpointSaveS)))
		w.changed = true
		return
	}
	if task.state != wire.TaskCheckpointing || grace == 0 {
		w.exitTask(task, wire.ExitStopped, false)
	}
}
