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

// Machines of the tests: of a type with 4 processors, in zones a and b.
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

// newJob returns a job of two tasks with one processor each, changed by edit if that is given.
func newJob(edit func(*wire.Job)) wire.Job {
	job := wire.Job{ID: testJob, Team: "red", Kind: wire.KindArray, Tasks: 2, CPUs: 1, MemoryGB: 1, AllowSpot: true}
	if edit != nil {
		edit(&job)
	}
	return job
}

func submit(checker *Checker, edit func(*wire.Job)) {
	checker.JobSubmitted(newJob(edit), testRunTime, false)
}

// answer has a user ask now and see the answer.
func answer(checker *Checker, code int, state wire.JobState) {
	checker.AnswerSeen(testJob, time.Now(), code, state)
}

// accept has a user submit a job and see that it is accepted, and lets a second pass.
func accept(checker *Checker, edit func(*wire.Job)) {
	submit(checker, edit)
	answer(checker, http.StatusCreated, wire.JobPending)
	time.Sleep(time.Second)
}

// cancel has a user cancel the job and see that it is cancelled.
func cancel(checker *Checker) {
	checker.CancelRequested(testJob)
	answer(checker, http.StatusOK, wire.JobCancelled)
}

// start starts a task of the job on a machine.
func start(checker *Checker, machine Machine, index int) {
	checker.TaskStarted(machine, Task{testJob, index})
}

// leave removes a task of the job from a machine.
func leave(checker *Checker, machine Machine, index int, completed bool) {
	checker.TaskLeft(machine, Task{testJob, index}, completed)
}

func TestRules(t *testing.T) {
	needsTwoCPUs := func(job *wire.Job) { job.CPUs = 2 }
	gang := func(job *wire.Job) { job.Kind = wire.KindGang }
	for _, c := range []struct {
		name string
		play func(checker *Checker)
		want Rule // empty: no violation
	}{
		{"a task starts on a second machine", func(checker *Checker) {
			accept(checker, nil)
			start(checker, machineA, 0)
			start(checker, machineB, 0)
		}, RanTwice},
		{"a task starts on a second machine after it has left the first", func(checker *Checker) {
			accept(checker, nil)
			start(checker, machineA, 0)
			leave(checker, machineA, 0, false)
			start(checker, machineB, 0)
		}, ""},
		{"two tasks are on two machines", func(checker *Checker) {
			accept(checker, nil)
			start(checker, machineA, 0)
			start(checker, machineB, 1)
		}, ""},

		{"tasks use more than the team's limit", func(checker *Checker) {
			accept(checker, needsTwoCPUs)
			start(checker, machineA, 0)
			start(checker, machineB, 1)
		}, Quota},
		{"a task uses the team's limit after another has left", func(checker *Checker) {
			accept(checker, needsTwoCPUs)
			start(checker, machineA, 0)
			leave(checker, machineA, 0, true)
			start(checker, machineB, 1)
		}, ""},

		{"a task starts in another zone than its job allows", func(checker *Checker) {
			zone := "b"
			accept(checker, func(job *wire.Job) { job.Zone = &zone })
			start(checker, machineA, 0)
		}, WrongPlace},
		{"a task starts on a type that its job does not allow", func(checker *Checker) {
			accept(checker, func(job *wire.Job) { job.MachineTypes = []string{"large"} })
			start(checker, machineA, 0)
		}, WrongPlace},
		{"a task starts on a spot machine, which its job does not allow", func(checker *Checker) {
			accept(checker, func(job *wire.Job) { job.AllowSpot = false })
			start(checker, spotMachine, 0)
		}, WrongPlace},
		{"tasks of a job that needs one zone start in two", func(checker *Checker) {
			accept(checker, func(job *wire.Job) { job.SameZone = true })
			start(checker, machineA, 0)
			start(checker, machineB, 1)
		}, WrongPlace},
		{"tasks of a job that needs one zone start in one", func(checker *Checker) {
			accept(checker, func(job *wire.Job) { job.SameZone = true })
			start(checker, machineA, 0)
			start(checker, spotMachine, 1)
		}, ""},
		{"tasks of a job that spreads over zones start in one", func(checker *Checker) {
			accept(checker, func(job *wire.Job) { job.SpreadZones = true })
			start(checker, machineA, 0)
			start(checker, spotMachine, 1)
		}, WrongPlace},
		{"tasks of a job that spreads over zones start in two", func(checker *Checker) {
			accept(checker, func(job *wire.Job) { job.SpreadZones = true })
			start(checker, machineA, 0)
			start(checker, machineB, 1)
		}, ""},

		{"a task starts long after the cancellation", func(checker *Checker) {
			accept(checker, nil)
			cancel(checker)
			time.Sleep(testCancelDeadline + time.Second)
			start(checker, machineA, 0)
		}, RanCancelled},
		{"a task leaves long after the cancellation", func(checker *Checker) {
			accept(checker, nil)
			start(checker, machineA, 0)
			cancel(checker)
			time.Sleep(testCancelDeadline + time.Second)
			leave(checker, machineA, 0, false)
		}, RanCancelled},
		{"a task is there at the end, long after the cancellation", func(checker *Checker) {
			accept(checker, nil)
			start(checker, machineA, 0)
			cancel(checker)
			time.Sleep(testCancelDeadline + time.Second)
		}, RanCancelled},
		{"a task leaves soon after the cancellation", func(checker *Checker) {
			accept(checker, nil)
			start(checker, machineA, 0)
			cancel(checker)
			time.Sleep(testCancelDeadline)
			leave(checker, machineA, 0, false)
		}, ""},

		{"an accepted job is not found", func(checker *Checker) {
			accept(checker, nil)
			answer(checker, http.StatusNotFound, "")
		}, Forgotten},
		{"the repeated submission of an accepted job is malformed", func(checker *Checker) {
			accept(checker, nil)
			answer(checker, http.StatusBadRequest, "")
		}, Forgotten},
		{"the repeated submission of an accepted job is refused", func(checker *Checker) {
			accept(checker, nil)
			answer(checker, http.StatusUnprocessableEntity, "")
		}, Forgotten},
		{"a job is not found by a request from before it was accepted", func(checker *Checker) {
			asked := time.Now()
			accept(checker, nil)
			checker.AnswerSeen(testJob, asked, http.StatusNotFound, "")
		}, ""},
		{"a job that is not accepted is not found", func(checker *Checker) {
			submit(checker, nil)
			answer(checker, http.StatusNotFound, "")
		}, ""},
		{"an accepted job is not answered for", func(checker *Checker) {
			accept(checker, nil)
			answer(checker, http.StatusServiceUnavailable, "")
		}, ""},

		{"a job that nobody submitted is answered for", func(checker *Checker) {
			answer(checker, http.StatusOK, wire.JobPending)
		}, Invented},
		{"a job that nobody submitted is not found", func(checker *Checker) {
			answer(checker, http.StatusNotFound, "")
		}, ""},

		{"a job is called done before its tasks are", func(checker *Checker) {
			accept(checker, nil)
			start(checker, machineA, 0)
			leave(checker, machineA, 0, true)
			answer(checker, http.StatusOK, wire.JobDone)
		}, NotDone},
		{"a job is called done after its tasks are", func(checker *Checker) {
			accept(checker, nil)
			for index := range 2 {
				start(checker, machineA, index)
				leave(checker, machineA, index, true)
			}
			answer(checker, http.StatusOK, wire.JobDone)
		}, ""},
		{"a gang is called done after one of its tasks is", func(checker *Checker) {
			accept(checker, gang)
			start(checker, machineA, 0)
			leave(checker, machineA, 0, true)
			answer(checker, http.StatusOK, wire.JobDone)
		}, ""},

		{"a cancelled job is called pending", func(checker *Checker) {
			accept(checker, nil)
			cancel(checker)
			time.Sleep(time.Second)
			answer(checker, http.StatusOK, wire.JobPending)
		}, WentBack},
		{"a done job is called pending", func(checker *Checker) {
			accept(checker, gang)
			start(checker, machineA, 0)
			leave(checker, machineA, 0, true)
			answer(checker, http.StatusOK, wire.JobDone)
			time.Sleep(time.Second)
			answer(checker, http.StatusOK, wire.JobPending)
		}, WentBack},
		{"a cancelled job is called pending by an answer that was asked for before", func(checker *Checker) {
			accept(checker, nil)
			asked := time.Now()
			cancel(checker)
			checker.AnswerSeen(testJob, asked, http.StatusOK, wire.JobPending)
		}, ""},
		{"a job that nobody cancelled is called cancelled", func(checker *Checker) {
			accept(checker, nil)
			answer(checker, http.StatusOK, wire.JobCancelled)
		}, WentBack},

		{"a gang begins with one task of two", func(checker *Checker) {
			accept(checker, gang)
			start(checker, machineA, 0)
			checker.GangTaskRunning(Task{testJob, 0}, 1)
		}, HalfGang},
		{"a gang's task begins twice in an attempt", func(checker *Checker) {
			accept(checker, gang)
			start(checker, machineA, 0)
			start(checker, machineB, 1)
			checker.GangTaskRunning(Task{testJob, 0}, 1)
			checker.GangTaskRunning(Task{testJob, 0}, 1)
		}, HalfGang},
		{"a gang begins twice in two attempts", func(checker *Checker) {
			accept(checker, gang)
			start(checker, machineA, 0)
			start(checker, machineB, 1)
			checker.GangTaskRunning(Task{testJob, 0}, 1)
			checker.GangTaskRunning(Task{testJob, 1}, 1)
			checker.GangTaskRunning(Task{testJob, 0}, 2)
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checker := newTestChecker()
				c.play(checker)
				checker.CheckAtEnd()
				expectRule(t, checker, c.want)
			})
		})
	}
}

// TestLeftWaiting lets time pass beside a machine and checks every few seconds whether the job is left waiting.
func TestLeftWaiting(t *testing.T) {
	const checkInterval = 5 * time.Second
	other := func(job *wire.Job) { job.ID, job.CPUs = "run-2", 3 }
	for _, c := range []struct {
		name     string
		prepare  func(checker *Checker)
		machines []Machine
		lasts    time.Duration
		want     Rule // empty: no violation
	}{
		{"beside a machine with room", func(checker *Checker) {
			accept(checker, nil)
		}, []Machine{machineA}, 2 * maxWaitBesideRoom, LeftWaiting},
		{"beside a machine with room, not for too long", func(checker *Checker) {
			accept(checker, nil)
		}, []Machine{machineA}, maxWaitBesideRoom, ""},
		{"without a machine", func(checker *Checker) {
			accept(checker, nil)
		}, nil, 2 * maxWaitBesideRoom, ""},
		{"beside a machine that the job does not allow", func(checker *Checker) {
			accept(checker, func(job *wire.Job) { job.AllowSpot = false })
		}, []Machine{spotMachine}, 2 * maxWaitBesideRoom, ""},
		{"beside a machine whose processors are in use", func(checker *Checker) {
			checker.SetTeamLimit("red", 0)
			accept(checker, func(job *wire.Job) { job.CPUs = 2 })
			submit(checker, other)
			checker.TaskStarted(machineA, Task{"run-2", 0})
		}, []Machine{machineA}, 2 * maxWaitBesideRoom, ""},
		{"beside a machine whose memory is in use", func(checker *Checker) {
			accept(checker, func(job *wire.Job) { job.MemoryGB = 4 })
			submit(checker, func(job *wire.Job) { job.ID, job.MemoryGB = "run-2", 5 })
			checker.TaskStarted(machineA, Task{"run-2", 0})
		}, []Machine{machineA}, 2 * maxWaitBesideRoom, ""},
		{"while its team's limit is used up", func(checker *Checker) {
			accept(checker, nil)
			submit(checker, other)
			checker.TaskStarted(machineB, Task{"run-2", 0})
		}, []Machine{machineA}, 2 * maxWaitBesideRoom, ""},
		{"while one of its tasks runs", func(checker *Checker) {
			accept(checker, nil)
			start(checker, machineA, 0)
		}, []Machine{machineA}, 2 * maxWaitBesideRoom, ""},
		{"after its cancellation was asked for", func(checker *Checker) {
			accept(checker, nil)
			checker.CancelRequested(testJob)
		}, []Machine{machineA}, 2 * maxWaitBesideRoom, ""},
		{"before it is accepted", func(checker *Checker) {
			submit(checker, nil)
		}, []Machine{machineA}, 2 * maxWaitBesideRoom, ""},
		{"a gang", func(checker *Checker) {
			accept(checker, func(job *wire.Job) { job.Kind = wire.KindGang })
		}, []Machine{machineA}, 2 * maxWaitBesideRoom, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checker := newTestChecker()
				c.prepare(checker)
				for end := time.Now().Add(c.lasts); !time.Now().After(end); time.Sleep(checkInterval) {
					checker.CheckLeftWaiting(c.machines)
				}
				expectRule(t, checker, c.want)
			})
		})
	}
}

// expectRule fails the test unless the violations are all of one rule, or there are none if that is empty.
func expectRule(t *testing.T, checker *Checker, want Rule) {
	t.Helper()
	err := Err(checker.Violations())
	if want == "" {
		if err != nil {
			t.Errorf("violations: %v", err)
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
			t.Errorf("%q does not name its rule", violation)
		}
	}
}

// The workers' logs have what happens to tasks, and say which of it disrupts nobody.
func TestEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checker := newTestChecker()
		accept(checker, func(job *wire.Job) { job.Tasks = 1 })
		start(checker, machineA, 0)
		checker.StopCommanded(machineA, Task{testJob, 0})
		leave(checker, machineA, 0, false)
		start(checker, machineB, 0)
		checker.ReclaimAnnounced(machineB)
		leave(checker, machineB, 0, false)
		start(checker, machineA, 0)
		checker.CancelRequested(testJob)
		leave(checker, machineA, 0, true)
		type entry struct {
			kind    worklog.EventKind
			machine wire.MachineID
			exempt  bool
		}
		want := []entry{
			{worklog.JobAccepted, "", false},
			{worklog.TaskStarted, machineA.ID, false},
			{worklog.StopCommanded, machineA.ID, false},
			{worklog.TaskVanished, machineA.ID, false},
			{worklog.TaskStarted, machineB.ID, false},
			{worklog.TaskVanished, machineB.ID, true},
			{worklog.TaskStarted, machineA.ID, false},
			{worklog.CancelRequested, "", true},
			{worklog.TaskCompleted, machineA.ID, true},
		}
		events := checker.Events()
		if len(events) != len(want) {
			t.Fatalf("%d events, want %d: %v", len(events), len(want), events)
		}
		for i, event := range events {
			if got := (entry{event.Kind, event.Machine, event.Exempt}); got != want[i] {
				t.Errorf("event %d: %v, want %v", i, got, want[i])
			}
			if event.Task != testJob+"/0" || event.Team != "red" {
				t.Errorf("event %d is of task %s of team %s", i, event.Task, event.Team)
			}
		}
		if starts := checker.TaskStarts(testJob); starts != 3 {
			t.Errorf("%d starts, want 3", starts)
		}
	})
}
