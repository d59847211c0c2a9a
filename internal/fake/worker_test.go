package fake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

const (
	testHeartbeatInterval = 2 * time.Second
	testLeaseDuration     = 10 * time.Second
	testRunTime           = time.Minute
	testJob               = "run-1"
)

// testController records the heartbeats that it receives and responds to them.
type testController struct {
	mu         sync.Mutex
	heartbeats []wire.Heartbeat
	respond    func(rw http.ResponseWriter)
}

func (c *testController) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var heartbeat wire.Heartbeat
	err := json.NewDecoder(r.Body).Decode(&heartbeat)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.heartbeats = append(c.heartbeats, heartbeat)
	}
	c.respond(rw)
}

// setResponse sets the function that responds to heartbeats from now on.
func (c *testController) setResponse(respond func(rw http.ResponseWriter)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.respond = respond
}

// received returns the heartbeats that the controller has received so far.
func (c *testController) received() []wire.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.heartbeats)
}

// lastTasks returns the tasks that the last heartbeat reports.
func (c *testController) lastTasks() []wire.TaskStatus {
	heartbeats := c.received()
	return heartbeats[len(heartbeats)-1].Tasks
}

// accepting returns a function that responds as the leader, with a fencing token and commands.
func accepting(token wire.FencingToken, commands ...wire.Command) func(http.ResponseWriter) {
	return func(rw http.ResponseWriter) {
		writeJSON(rw, http.StatusOK, wire.HeartbeatResponse{FencingToken: token, Commands: commands})
	}
}

// redirecting returns a function that responds with a redirect to another controller as the leader.
func redirecting(leader string) func(http.ResponseWriter) {
	return func(rw http.ResponseWriter) {
		writeJSON(rw, http.StatusMisdirectedRequest, wire.LeaderRedirect{Leader: leader})
	}
}

// workerTest is a worker with two controllers, c0 and c1. The worker sends its heartbeats to c0 first.
type workerTest struct {
	network     *Network
	controllers [2]*testController
	checker     *invariant.Checker
	worker      *Worker
}

// newWorkerTest starts a worker for a test in a synctest bubble. When the test ends, the worker is stopped, and the
// test fails if any rule of the invariant checker was violated.
func newWorkerTest(t *testing.T) *workerTest {
	t.Helper()
	w := &workerTest{network: NewNetwork(), checker: invariant.NewChecker()}
	machineType := wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 8, FetchGBPS: 1, Zones: []string{"a"}}
	w.checker.AddMachineType(machineType)
	w.checker.JobSubmitted(wire.Job{ID: testJob, Team: "red", Kind: wire.KindArray, Tasks: 2, CPUs: 3, MemoryGB: 1,
		AllowSpot: true, ImageGB: 1, CheckpointIntervalS: 10, CheckpointSaveS: 5}, testRunTime, false)
	config := WorkerConfig{HeartbeatInterval: testHeartbeatInterval, LeaseDuration: testLeaseDuration, Network: w.network,
		MachineTypes: map[string]*wire.MachineType{"small": &machineType}, Checker: w.checker,
		Gangs: NewGangRuntime(testLeaseDuration, testLeaseDuration)}
	for i, ip := range []string{"10.0.0.1", "10.0.0.2"} {
		w.controllers[i] = &testController{respond: accepting(1)}
		address := ip + ":8080"
		w.serve(t, ip, address, w.controllers[i])
		config.Controllers = append(config.Controllers, Controller{Name: fmt.Sprintf("c%d", i), Address: address})
	}
	w.worker = NewWorker(t.Context(), config, Machine{invariant.Machine{ID: "n-1", Type: "small", Zone: "a"}, "10.1.0.1"})
	t.Cleanup(func() {
		w.worker.Stop()
		if err := invariant.Err(w.checker.Violations()); err != nil {
			t.Errorf("violations %v, want none", err)
		}
	})
	return w
}

// serve runs a controller's server on a new host until the test ends.
func (w *workerTest) serve(t *testing.T, ip, address string, controller *testController) {
	t.Helper()
	listener, err := w.network.StartHost(ip).Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: controller}
	go func() { _ = server.Serve(listener) }() // fails when the server is closed
	t.Cleanup(func() { _ = server.Close() })   // the test has ended, so an error does not matter
}

// push sends a command push from the first controller's host and returns the status of the response.
func (w *workerTest) push(t *testing.T, push wire.CommandPush) int {
	t.Helper()
	body, err := json.Marshal(push)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext: w.network.hosts["10.0.0.1"].Dial, DisableKeepAlives: true}}
	response, err := client.Post("http://10.1.0.1:9000"+wire.PathCommands, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode
}

// startCommand returns a command to start an attempt of a task.
func startCommand(task string, attempt wire.AttemptID) wire.Command {
	return wire.Command{Op: wire.OpStart, Task: task, Attempt: attempt}
}

// stopCommand returns a command to stop the first attempt of a task.
func stopCommand(task string, graceS float64) wire.Command {
	return wire.Command{Op: wire.OpStop, Task: task, Attempt: 1, GraceS: &graceS}
}

func TestCommandPushFencing(t *testing.T) {
	for _, c := range []struct {
		name string
		push wire.CommandPush
		want int
	}{
		{"from the leader", wire.CommandPush{FencingToken: 5, Incarnation: 1}, http.StatusOK},
		{"from a later leader", wire.CommandPush{FencingToken: 6, Incarnation: 1}, http.StatusOK},
		{"from an earlier leader", wire.CommandPush{FencingToken: 4, Incarnation: 1}, http.StatusConflict},
		{"for another incarnation", wire.CommandPush{FencingToken: 5, Incarnation: 2}, http.StatusConflict},
		{"without a fencing token", wire.CommandPush{Incarnation: 1}, http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorkerTest(t)
				w.controllers[0].setResponse(accepting(5))
				time.Sleep(2 * testHeartbeatInterval)
				c.push.Commands = []wire.Command{startCommand(testJob+"/0", 1)}
				if status := w.push(t, c.push); status != c.want {
					t.Errorf("status %d, want %d", status, c.want)
				}
				time.Sleep(testHeartbeatInterval)
				if started := len(w.checker.Placements(testJob)) == 1; started != (c.want == http.StatusOK) {
					t.Errorf("the task has started: %v, want %v", started, !started)
				}
			})
		})
	}
}

// TestReportedTaskStates checks the state of a task that the heartbeats report after commands and after some time.
func TestReportedTaskStates(t *testing.T) {
	for _, c := range []struct {
		name     string
		commands []wire.Command
		after    time.Duration
		state    wire.TaskState
		reason   wire.ExitReason
		saved    bool
	}{
		{"runs", []wire.Command{startCommand(testJob+"/0", 1)},
			testHeartbeatInterval * 2, wire.TaskRunning, "", false},
		{"completes", []wire.Command{startCommand(testJob+"/0", 1)},
			testRunTime + 2*testHeartbeatInterval, wire.TaskExited, wire.ExitCompleted, false},
		{"belongs to an unknown job", []wire.Command{startCommand("run-2/0", 1)},
			testHeartbeatInterval * 2, wire.TaskExited, wire.ExitUnknownTask, false},
		{"exceeds the machine's resources", []wire.Command{startCommand(testJob+"/1", 1), startCommand(testJob+"/0", 1)},
			testHeartbeatInterval * 2, wire.TaskExited, wire.ExitInsufficientResources, false},
		{"has another attempt on the machine", []wire.Command{startCommand(testJob+"/0", 1), startCommand(testJob+"/0", 2)},
			testHeartbeatInterval * 2, wire.TaskExited, wire.ExitConflictingAttempt, false},
		{"is stopped while it fetches its image", []wire.Command{startCommand(testJob+"/0", 1), stopCommand(testJob+"/0", 9)},
			testHeartbeatInterval * 2, wire.TaskExited, wire.ExitStopped, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorkerTest(t)
				w.push(t, wire.CommandPush{FencingToken: 1, Incarnation: 1, Commands: c.commands})
				time.Sleep(c.after)
				tasks := w.controllers[0].lastTasks()
				status := tasks[len(tasks)-1] // the task of the last command to start one
				if status.State != c.state || status.ExitReason != c.reason || status.CheckpointSaved != c.saved {
					t.Errorf("status %+v, want state %q, exit reason %q and checkpoint saved %v",
						status, c.state, c.reason, c.saved)
				}
			})
		})
	}
}

// TestLaunchesCountOnlyWithImage checks that a launch counts, even if a stop follows at once, if the machine has the
// task's image, and that a repeated launch or one without the image doesn't.
func TestLaunchesCountOnlyWithImage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorkerTest(t)
		launchAndStop := []wire.Command{startCommand(testJob+"/0", 1), stopCommand(testJob+"/0", 0)}
		launchAfterwards := []wire.Command{startCommand(testJob+"/1", 1), stopCommand(testJob+"/1", 0)}
		for _, c := range []struct {
			commands []wire.Command
			want     int
		}{
			{launchAndStop, 0},
			{launchAfterwards, 1},
			{launchAfterwards, 1},
		} {
			w.push(t, wire.CommandPush{FencingToken: 1, Incarnation: 1, Commands: c.commands})
			time.Sleep(testHeartbeatInterval)
			if got := w.checker.TaskLaunches(testJob); got != c.want {
				t.Errorf("%d launches after %+v, want %d", got, c.commands, c.want)
			}
		}
	})
}

// TestCheckpointIsSavedOnlyWithinGracePeriod checks that a running task saves a checkpoint before it stops if the
// command's grace period is long enough.
func TestCheckpointIsSavedOnlyWithinGracePeriod(t *testing.T) {
	for _, c := range []struct {
		name   string
		graceS float64
		saved  bool
	}{
		{"enough time", 5, true},
		{"not enough time", 4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorkerTest(t)
				push := wire.CommandPush{FencingToken: 1, Incarnation: 1, Commands: []wire.Command{startCommand(testJob+"/0", 1)}}
				w.push(t, push)
				time.Sleep(2 * testHeartbeatInterval)
				push.Commands = []wire.Command{stopCommand(testJob+"/0", c.graceS)}
				w.push(t, push)
				time.Sleep(10 * time.Second)
				status := w.controllers[0].lastTasks()[0]
				if status.ExitReason != wire.ExitStopped || status.CheckpointSaved != c.saved {
					t.Errorf("status %+v, want exit reason %q and checkpoint saved %v", status, wire.ExitStopped, c.saved)
				}
				push.Commands = []wire.Command{{Op: wire.OpClear, Task: testJob + "/0", Attempt: 1}}
				w.push(t, push)
				time.Sleep(2 * testHeartbeatInterval)
				if tasks := w.controllers[0].lastTasks(); len(tasks) != 0 {
					t.Errorf("tasks %+v after the command to clear the task, want none", tasks)
				}
			})
		})
	}
}

// TestExpiredLeaseKillsTasksAndBeginsIncarnation checks that the tasks are killed and the next incarnation begins if no
// heartbeat gets a response for the lease's duration, also on a machine that hangs.
func TestExpiredLeaseKillsTasksAndBeginsIncarnation(t *testing.T) {
	for _, c := range []struct {
		name        string
		fail        func(w *workerTest)
		heal        func(w *workerTest)
		duration    time.Duration
		incarnation wire.AgentIncarnation
	}{
		{"partition", func(w *workerTest) { w.setLinks(LinkHeld) }, func(w *workerTest) { w.setLinks(LinkUp) },
			testLeaseDuration + 2*time.Second, 2},
		{"short partition", func(w *workerTest) { w.setLinks(LinkHeld) }, func(w *workerTest) { w.setLinks(LinkUp) },
			testLeaseDuration / 5, 1},
		{"hang", func(w *workerTest) { w.worker.Hang() }, func(w *workerTest) { w.worker.Resume() },
			testLeaseDuration + 2*time.Second, 2},
		{"short hang", func(w *workerTest) { w.worker.Hang() }, func(w *workerTest) { w.worker.Resume() },
			testLeaseDuration / 5, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorkerTest(t)
				w.worker.DeliverStartCommand(testJob+"/0", 1, 1)
				time.Sleep(3 * testHeartbeatInterval)
				c.fail(w)
				time.Sleep(c.duration)
				retained := c.incarnation == 1
				if runs := len(w.checker.Placements(testJob)) == 1; runs != retained {
					t.Errorf("the task is on the machine: %v, want %v", runs, retained)
				}
				c.heal(w)
				time.Sleep(5 * testHeartbeatInterval)
				heartbeat := w.lastHeartbeat()
				if heartbeat.Incarnation != c.incarnation || (len(heartbeat.Tasks) == 1) != retained {
					t.Errorf("heartbeat %+v, want incarnation %d with the task: %v", heartbeat, c.incarnation, retained)
				}
			})
		})
	}
}

// setLinks sets the mode of the links between the machine and both controllers.
func (w *workerTest) setLinks(mode LinkMode) {
	w.network.SetLink("10.1.0.1", "10.0.0.1", mode)
	w.network.SetLink("10.1.0.1", "10.0.0.2", mode)
}

// lastHeartbeat returns the heartbeat with the highest sequence number that either controller has received.
func (w *workerTest) lastHeartbeat() wire.Heartbeat {
	var last wire.Heartbeat
	for _, controller := range w.controllers {
		for _, heartbeat := range controller.received() {
			if heartbeat.Sequence > last.Sequence {
				last = heartbeat
			}
		}
	}
	return last
}

// TestHeartbeatFollowsLeader checks that heartbeats go to the leader that a response names, and to the next controller
// when a controller does not serve them.
func TestHeartbeatFollowsLeader(t *testing.T) {
	for _, c := range []struct {
		name      string
		respond   func(http.ResponseWriter)
		wantOther bool
	}{
		{"accepted by the leader", accepting(1), false},
		{"redirected to the other controller", redirecting("c1"), true},
		{"redirected to the same controller", redirecting("c0"), true},
		{"not served", func(rw http.ResponseWriter) { rw.WriteHeader(http.StatusServiceUnavailable) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorkerTest(t)
				w.controllers[0].setResponse(c.respond)
				time.Sleep(5 * testHeartbeatInterval)
				if reachedOther := len(w.controllers[1].received()) > 0; reachedOther != c.wantOther {
					t.Errorf("the other controller received heartbeats: %v, want %v", reachedOther, c.wantOther)
				}
			})
		})
	}
}

// TestDuplicateHeartbeatsArriveAfterDelay checks that duplicates of heartbeats arrive after a delay, also when the
// machine is deleted.
func TestDuplicateHeartbeatsArriveAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorkerTest(t)
		w.worker.DuplicateHeartbeats(20 * time.Second)
		time.Sleep(3 * testHeartbeatInterval)
		w.worker.Stop()
		before := len(w.controllers[0].received())
		time.Sleep(30 * time.Second)
		if duplicates := len(w.controllers[0].received()) - before; duplicates == 0 || duplicates > before {
			t.Errorf("%d duplicates of %d heartbeats, want at least 1 and at most one of each", duplicates, before)
		}
	})
}
