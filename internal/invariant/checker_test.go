package invariant

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/worklog"
	"saffronbend/wire"
)

const (
	testJob            = "run-1"
	testRunTime        = 10 * time.Second
	testCancelDeadline = 30 * time.Second
)

// The machines of the tests are of a type with 4 processors, in zones a and b.
var (
	machineA    = Machine{ID: "n-1", Type: "small", Zone: "a"}
	machineB    = Machine{ID: "n-2", Type: "small", Zone: "b"}
	spotMachine = Machine{ID: "n-3", Type: "small", Zone: "a", Spot: true}
)

// newTestChecker returns a checker whose only team may use 3 processors.
func newTestChecker() *Checker {
	checker := NewChecker()
	checker.SetTeamLimit("red", 3)
	checker.SetCancelDeadline(testCancelDeadline)
	checker.AddMachineType(wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"a", "b"}})
	return checker
}

// newJob returns a job of two tasks with one processor each, modified by edit if that is not nil.
func newJob(edit func(*wire.Job)) wire.Job {
	job := wire.Job{ID: testJob, Team: "red", Kind: wire.KindArray, Tasks: 2, CPUs: 1, MemoryGB: 1, AllowSpot: true}
	if edit != nil {
		edit(&job)
	}
	return job
}

// submitJob has a user submit the job that newJob returns, without a response.
func submitJob(checker *Checker, edit func(*wire.Job)) {
	checker.JobSubmitted(newJob(edit), testRunTime, false)
}

// receiveResponse has a user send a request about the job now and receive the response immediately.
func receiveResponse(checker *Checker, code int, state wire.JobState) {
	checker.ResponseReceived(testJob, time.Now(), code, state)
}

// acceptJob has a user submit the job and see that it is accepted, and then waits for a second.
func acceptJob(checker *Checker, edit func(*wire.Job)) {
	submitJob(checker, edit)
	receiveResponse(checker, http.StatusCreated, wire.JobPending)
	time.Sleep(time.Second)
}

// cancelJob has a user ask to cancel the job and see that it is cancelled.
func cancelJob(checker *Checker) {
	checker.CancelRequested(testJob)
	receiveResponse(checker, http.StatusOK, wire.JobCancelled)
}

// startTask records that a task of the job starts on a machine.
func startTask(checker *Checker, machine Machine, index int) {
	checker.TaskStarted(machine, Task{testJob, index})
}

// endTask records that a task of the job is no longer on a machine.
func endTask(checker *Checker, machine Machine, index int, completed bool) {
	checker.TaskEnded(machine, Task{testJob, index}, completed)
}

func TestCheckerDetectsViolations(t *testing.T) {
	needsTwoCPUs := func(job *wire.Job) { job.CPUs = 2 }
	gang := func(job *wire.Job) { job.Kind = wire.KindGang }
	for _, c := range []struct {
		name string
		run  func(checker *Checker)
		want Rule // empty: no violation
	}{
		{"a task starts on a second machine", func(checker *Checker) {
			acceptJob(checker, nil)
			startTask(checker, machineA, 0)
			startTask(checker, machineB, 0)
		}, DuplicateExecution},
		{"a task starts on a second machine after it has ended on the first", func(checker *Checker) {
			acceptJob(checker, nil)
			startTask(checker, machineA, 0)
			endTask(checker, machineA, 0, false)
			startTask(checker, machineB, 0)
		}, ""},
		{"two tasks of a job are on two machines", func(checker *Checker) {
			acceptJob(checker, nil)
			startTask(checker, machineA, 0)
			startTask(checker, machineB, 1)
		}, ""},

		{"tasks use more processors than the team's limit", func(checker *Checker) {
			acceptJob(checker, needsTwoCPUs)
			startTask(checker, machineA, 0)
			startTask(checker, machineB, 1)
		}, QuotaExceeded},
		{"a task starts within the team's limit after another has ended", func(checker *Checker) {
			acceptJob(checker, needsTwoCPUs)
			startTask(checker, machineA, 0)
			endTask(checker, machineA, 0, true)
			startTask(checker, machineB, 1)
		}, ""},

		{"a task starts in a zone that its job does not allow", func(checker *Checker) {
			zone := "b"
			acceptJob(checker, func(job *wire.Job) { job.Zone = &zone })
			startTask(checker, machineA, 0)
		}, PlacementViolation},
		{"a task starts on a machine type that its job does not allow", func(checker *Checker) {
			acceptJob(checker, func(job *wire.Job) { job.MachineTypes = []string{"large"} })
			startTask(checker, machineA, 0)
		}, PlacementViolation},
		{"a task starts on a spot machine that its job does not allow", func(checker *Checker) {
			acceptJob(checker, func(job *wire.Job) { job.AllowSpot = false })
			startTask(checker, spotMachine, 0)
		}, PlacementViolation},
		{"tasks of a same-zone job start in two zones", func(checker *Checker) {
			acceptJob(checker, func(job *wire.Job) { job.SameZone = true })
			startTask(checker, machineA, 0)
			startTask(checker, machineB, 1)
		}, PlacementViolation},
		{"tasks of a same-zone job start in one zone", func(checker *Checker) {
			acceptJob(checker, func(job *wire.Job) { job.SameZone = true })
			startTask(checker, machineA, 0)
			startTask(checker, spotMachine, 1)
		}, ""},
		{"all tasks of a job that spreads over zones start in one zone", func(checker *Checker) {
			acceptJob(checker, func(job *wire.Job) { job.SpreadZones = true })
			startTask(checker, machineA, 0)
			startTask(checker, spotMachine, 1)
		}, PlacementViolation},
		{"tasks of a job that spreads over zones start in two zones", func(checker *Checker) {
			acceptJob(checker, func(job *wire.Job) { job.SpreadZones = true })
			startTask(checker, machineA, 0)
			startTask(checker, machineB, 1)
		}, ""},

		{"a task starts after the cancellation deadline", func(checker *Checker) {
			acceptJob(checker, nil)
			cancelJob(checker)
			time.Sleep(testCancelDeadline + time.Second)
			startTask(checker, machineA, 0)
		}, ExecutionAfterCancel},
		{"a task is launched after the cancellation deadline and stopped at once", func(checker *Checker) {
			acceptJob(checker, nil)
			cancelJob(checker)
			time.Sleep(testCancelDeadline + time.Second)
			checker.TaskLaunched(Task{testJob, 0})
		}, ExecutionAfterCancel},
		{"a task is launched within the cancellation deadline and stopped at once", func(checker *Checker) {
			acceptJob(checker, nil)
			cancelJob(checker)
			time.Sleep(testCancelDeadline)
			checker.TaskLaunched(Task{testJob, 0})
		}, ""},
		{"a task ends after the cancellation deadline", func(checker *Checker) {
			acceptJob(checker, nil)
			startTask(checker, machineA, 0)
			cancelJob(checker)
			time.Sleep(testCancelDeadline + time.Second)
			endTask(checker, machineA, 0, false)
		}, ExecutionAfterCancel},
		{"a task is on a machine at the end, after the cancellation deadline", func(checker *Checker) {
			acceptJob(checker, nil)
			startTask(checker, machineA, 0)
			cancelJob(checker)
			time.Sleep(testCancelDeadline + time.Second)
		}, ExecutionAfterCancel},
		{"a task ends within the cancellation deadline", func(checker *Checker) {
			acceptJob(checker, nil)
			startTask(checker, machineA, 0)
			cancelJob(checker)
			time.Sleep(testCancelDeadline)
			endTask(checker, machineA, 0, false)
		}, ""},

		{"a request about an accepted job gets status code 404", func(checker *Checker) {
			acceptJob(checker, nil)
			receiveResponse(checker, http.StatusNotFound, "")
		}, LostWrite},
		{"the repeated submission of an accepted job gets status code 400", func(checker *Checker) {
			acceptJob(checker, nil)
			receiveResponse(checker, http.StatusBadRequest, "")
		}, LostWrite},
		{"the repeated submission of an accepted job gets status code 422", func(checker *Checker) {
			acceptJob(checker, nil)
			receiveResponse(checker, http.StatusUnprocessableEntity, "")
		}, LostWrite},
		{"a request that was sent before the job was accepted gets status code 404", func(checker *Checker) {
			sentAt := time.Now()
			acceptJob(checker, nil)
			checker.ResponseReceived(testJob, sentAt, http.StatusNotFound, "")
		}, ""},
		{"a request about a job that is not accepted gets status code 404", func(checker *Checker) {
			submitJob(checker, nil)
			receiveResponse(checker, http.StatusNotFound, "")
		}, ""},
		{"a request about an accepted job gets status code 503", func(checker *Checker) {
			acceptJob(checker, nil)
			receiveResponse(checker, http.StatusServiceUnavailable, "")
		}, ""},

		{"a job that nobody submitted is reported as pending", func(checker *Checker) {
			receiveResponse(checker, http.StatusOK, wire.JobPending)
		}, UnexpectedRead},
		{"a request about a job that nobody submitted gets status code 404", func(checker *Checker) {
			receiveResponse(checker, http.StatusNotFound, "")
		}, ""},

		{"a job is reported as done before all of its tasks have completed", func(checker *Checker) {
			acceptJob(checker, nil)
			startTask(checker, machineA, 0)
			endTask(checker, machineA, 0, true)
			receiveResponse(checker, http.StatusOK, wire.JobDone)
		}, PrematureCompletion},
		{"a job is reported as done after all of its tasks have completed", func(checker *Checker) {
			acceptJob(checker, nil)
			for index := range 2 {
				startTask(checker, machineA, index)
				endTask(checker, machineA, index, true)
			}
			receiveResponse(checker, http.StatusOK, wire.JobDone)
		}, ""},
		{"a gang is reported as done after one of its tasks has completed", func(checker *Checker) {
			acceptJob(checker, gang)
			startTask(checker, machineA, 0)
			endTask(checker, machineA, 0, true)
			receiveResponse(checker, http.StatusOK, wire.JobDone)
		}, ""},

		{"a cancelled job is reported as pending", func(checker *Checker) {
			acceptJob(checker, nil)
			cancelJob(checker)
			time.Sleep(time.Second)
			receiveResponse(checker, http.StatusOK, wire.JobPending)
		}, NonMonotonicRead},
		{"a done job is reported as pending", func(checker *Checker) {
			acceptJob(checker, gang)
			startTask(checker, machineA, 0)
			endTask(checker, machineA, 0, true)
			receiveResponse(checker, http.StatusOK, wire.JobDone)
			time.Sleep(time.Second)
			receiveResponse(checker, http.StatusOK, wire.JobPending)
		}, NonMonotonicRead},
		{"a request that was sent before the cancellation reports the job as pending", func(checker *Checker) {
			acceptJob(checker, nil)
			sentAt := time.Now()
			cancelJob(checker)
			checker.ResponseReceived(testJob, sentAt, http.StatusOK, wire.JobPending)
		}, ""},
		{"a job that nobody asked to cancel is reported as cancelled", func(checker *Checker) {
			acceptJob(checker, nil)
			receiveResponse(checker, http.StatusOK, wire.JobCancelled)
		}, NonMonotonicRead},

		{"a gang starts to run with one of two tasks on machines", func(checker *Checker) {
			acceptJob(checker, gang)
			startTask(checker, machineA, 0)
			checker.GangTaskRunning(Task{testJob, 0}, 1)
		}, PartialGang},
		{"a task of a gang starts to run twice in one attempt", func(checker *Checker) {
			acceptJob(checker, gang)
			startTask(checker, machineA, 0)
			startTask(checker, machineB, 1)
			checker.GangTaskRunning(Task{testJob, 0}, 1)
			checker.GangTaskRunning(Task{testJob, 0}, 1)
		}, PartialGang},
		{"a task of a gang starts to run in two attempts", func(checker *Checker) {
			acceptJob(checker, gang)
			startTask(checker, machineA, 0)
			startTask(checker, machineB, 1)
			checker.GangTaskRunning(Task{testJob, 0}, 1)
			checker.GangTaskRunning(Task{testJob, 1}, 1)
			checker.GangTaskRunning(Task{testJob, 0}, 2)
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checker := newTestChecker()
				c.run(checker)
				checker.CheckFinalState()
				expectRule(t, checker, c.want)
			})
		})
	}
}

// TestStarvationIsDetectedAfterMaximumDelay checks every few seconds whether the job is starved: whether it has had no
// running task for too long although one of the machines has the capacity for one.
func TestStarvationIsDetectedAfterMaximumDelay(t *testing.T) {
	const checkInterval = 5 * time.Second
	competingJob := func(job *wire.Job) { job.ID, job.CPUs = "run-2", 3 }
	for _, c := range []struct {
		name     string
		prepare  func(checker *Checker)
		machines []Machine
		duration time.Duration
		want     Rule // empty: no violation
	}{
		{"starved for longer than the maximum delay", func(checker *Checker) {
			acceptJob(checker, nil)
		}, []Machine{machineA}, 2 * maxSchedulingDelay, Starvation},
		{"starved for no longer than the maximum delay", func(checker *Checker) {
			acceptJob(checker, nil)
		}, []Machine{machineA}, maxSchedulingDelay, ""},
		{"there is no machine", func(checker *Checker) {
			acceptJob(checker, nil)
		}, nil, 2 * maxSchedulingDelay, ""},
		{"the job does not allow the machine", func(checker *Checker) {
			acceptJob(checker, func(job *wire.Job) { job.AllowSpot = false })
		}, []Machine{spotMachine}, 2 * maxSchedulingDelay, ""},
		{"the machine's processors are in use", func(checker *Checker) {
			checker.SetTeamLimit("red", 0)
			acceptJob(checker, func(job *wire.Job) { job.CPUs = 2 })
			submitJob(checker, competingJob)
			checker.TaskStarted(machineA, Task{"run-2", 0})
		}, []Machine{machineA}, 2 * maxSchedulingDelay, ""},
		{"the machine's memory is in use", func(checker *Checker) {
			acceptJob(checker, func(job *wire.Job) { job.MemoryGB = 4 })
			submitJob(checker, func(job *wire.Job) { job.ID, job.MemoryGB = "run-2", 5 })
			checker.TaskStarted(machineA, Task{"run-2", 0})
		}, []Machine{machineA}, 2 * maxSchedulingDelay, ""},
		{"the team's limit is used up", func(checker *Checker) {
			acceptJob(checker, nil)
			submitJob(checker, competingJob)
			checker.TaskStarted(machineB, Task{"run-2", 0})
		}, []Machine{machineA}, 2 * maxSchedulingDelay, ""},
		{"one of the job's tasks runs", func(checker *Checker) {
			acceptJob(checker, nil)
			startTask(checker, machineA, 0)
		}, []Machine{machineA}, 2 * maxSchedulingDelay, ""},
		{"the job's cancellation is requested", func(checker *Checker) {
			acceptJob(checker, nil)
			checker.CancelRequested(testJob)
		}, []Machine{machineA}, 2 * maxSchedulingDelay, ""},
		{"the job is not accepted yet", func(checker *Checker) {
			submitJob(checker, nil)
		}, []Machine{machineA}, 2 * maxSchedulingDelay, ""},
		{"the job is a gang", func(checker *Checker) {
			acceptJob(checker, func(job *wire.Job) { job.Kind = wire.KindGang })
		}, []Machine{machineA}, 2 * maxSchedulingDelay, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checker := newTestChecker()
				c.prepare(checker)
				for end := time.Now().Add(c.duration); !time.Now().After(end); time.Sleep(checkInterval) {
					checker.CheckStarvation(c.machines)
				}
				expectRule(t, checker, c.want)
			})
		})
	}
}

// expectRule fails the test unless there are violations and all of them are of the rule that is given. If the rule is
// empty, it fails the test if there is any violation.
func expectRule(t *testing.T, checker *Checker, want Rule) {
	t.Helper()
	err := Err(checker.Violations())
	if want == "" {
		if err != nil {
			t.Errorf("violations %v, want none", err)
		}
		return
	}
	var violationError *ViolationError
	if !errors.As(err, &violationError) {
		t.Fatalf("no violation, want one of %s", want)
	}
	for _, violation := range violationError.Violations {
		if violation.Rule != want {
			t.Errorf("violation %v, want one of %s", violation, want)
		}
		if !strings.HasPrefix(violation.String(), string(want)+": ") {
			t.Errorf("violation %q does not begin with the name of its rule", violation)
		}
	}
}

// TestEventLogRecordsEveryReport checks that the workers' event log has an event for each report to the checker, and
// that events after the announcement of a reclamation or a request to cancel the job are exempt.
func TestEventLogRecordsEveryReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checker := newTestChecker()
		acceptJob(checker, func(job *wire.Job) { job.Tasks = 1 })
		startTask(checker, machineA, 0)
		checker.StopCommanded(machineA, Task{testJob, 0})
		endTask(checker, machineA, 0, false)
		startTask(checker, machineB, 0)
		checker.ReclaimAnnounced(machineB)
		endTask(checker, machineB, 0, false)
		startTask(checker, machineA, 0)
		checker.CancelRequested(testJob)
		endTask(checker, machineA, 0, true)
		type entry struct {
			kind    worklog.EventKind
			machine wire.MachineID
			exempt  bool
		}
		want := []entry{
			{worklog.JobAccepted, "", false},
			{worklog.TaskStarted, machineA.ID, false},
			{worklog.StopCommanded, machineA.ID, false},
			{worklog.TaskTerminated, machineA.ID, false},
			{worklog.TaskStarted, machineB.ID, false},
			{worklog.TaskTerminated, machineB.ID, true},
			{worklog.TaskStarted, machineA.ID, false},
			{worklog.CancelRequested, "", true},
			{worklog.TaskCompleted, machineA.ID, true},
		}
		events := checker.Events()
		if len(events) != len(want) {
			t.Fatalf("got %d events, want %d: %v", len(events), len(want), events)
		}
		for i, event := range events {
			if got := (entry{event.Kind, event.Machine, event.Exempt}); got != want[i] {
				t.Errorf("event %d: %v, want %v", i, got, want[i])
			}
			if event.Task != testJob+"/0" || event.Team != "red" {
				t.Errorf("event %d is about task %s of team %s, want %s/0 of team red", i, event.Task, event.Team, testJob)
			}
		}
		if starts := checker.TaskStarts(testJob); starts != 3 {
			t.Errorf("%d task starts, want 3", starts)
		}
	})
}
