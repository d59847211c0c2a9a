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
	testInterval = 2 * time.Second
	testLease    = 10 * time.Second
	testRunTime  = time.Minute
	testJob      = "run-1"
)

// testController records the heartbeats that it gets and answers them.
type testController struct {
	mu         sync.Mutex
	heartbeats []wire.Heartbeat
	answer     func(rw http.ResponseWriter)
}

func (c *testController) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var heartbeat wire.Heartbeat
	err := json.NewDecoder(r.Body).Decode(&heartbeat)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.heartbeats = append(c.heartbeats, heartbeat)
	}
	c.answer(rw)
}

// setAnswer sets how heartbeats are answered from now on.
func (c *testController) setAnswer(answer func(rw http.ResponseWriter)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer = answer
}

// received returns the heartbeats so far.
func (c *testController) received() []wire.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.heartbeats)
}

// lastTasks returns the tasks in the last heartbeat.
func (c *testController) lastTasks() []wire.TaskStatus {
	heartbeats := c.received()
	return heartbeats[len(heartbeats)-1].Tasks
}

// accepting answers as the leader with a fencing token and commands.
func accepting(token wire.FencingToken, commands ...wire.Command) func(http.ResponseWriter) {
	return func(rw http.ResponseWriter) {
		writeJSON(rw, http.StatusOK, wire.HeartbeatResponse{FencingToken: token, Commands: commands})
	}
}

// redirecting answers that another controller is the leader.
func redirecting(leader string) func(http.ResponseWriter) {
	return func(rw http.ResponseWriter) {
		writeJSON(rw, http.StatusMisdirectedRequest, wire.LeaderRedirect{Leader: leader})
	}
}

// workerTest is a worker with two controllers, c0 and c1; its heartbeats go to c0 at first.
type workerTest struct {
	network     *Network
	controllers [2]*testController
	checker     *invariant.Checker
	worker      *Worker
}

// newWorkerTest starts a worker in a synctest bubble. When the test ends, the worker is stopped, and the test fails
// if rules were violated.
func newWorkerTest(t *testing.T) *workerTest {
	t.Helper()
	w := &workerTest{network: NewNetwork(), checker: invariant.NewChecker()}
	machineType := wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 8, FetchGBPS: 1, Zones: []string{"a"}}
	w.checker.AddMachineType(machineType)
	w.checker.JobSubmitted(wire.Job{ID: testJob, Team: "red", Kind: wire.KindArray, Tasks: 2, CPUs: 3, MemoryGB: 1,
		AllowSpot: true, ImageGB: 1, CheckpointIntervalS: 10, CheckpointSaveS: 5}, testRunTime, false)
	config := WorkerConfig{HeartbeatInterval: testInterval, LeaseDuration: testLease, Network: w.network,
		MachineTypes: map[string]*wire.MachineType{"small": &machineType}, Checker: w.checker,
		Gangs: NewGangRuntime(testLease, testLease)}
	for i, ip := range []string{"10.0.0.1", "10.0.0.2"} {
		w.controllers[i] = &testController{answer: accepting(1)}
		address := ip + ":8080"
		w.serve(t, ip, address, w.controllers[i])
		config.Controllers = append(config.Controllers, Controller{Name: fmt.Sprintf("c%d", i), Address: address})
	}
	w.worker = NewWorker(t.Context(), config, Machine{invariant.Machine{ID: "n-1", Type: "small", Zone: "a"}, "10.1.0.1"})
	t.Cleanup(func() {
		w.worker.Stop()
		if err := invariant.Err(w.checker.Violations()); err != nil {
			t.Errorf("rules violated: %v", err)
		}
	})
	return w
}

// serve serves a controller on a host of its own until the test ends.
func (w *workerTest) serve(t *testing.T, ip, address string, controller *testController) {
	t.Helper()
	listener, err := w.network.StartHost(ip).Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: controller}
	go func() { _ = server.Serve(listener) }() // ends with the server
	t.Cleanup(func() { _ = server.Close() })   // the test is over
}

// push pushes commands from the first controller's host and returns the status.
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

// start returns the command to start an attempt of a task.
func start(task string, attempt wire.AttemptID) wire.Command {
	return wire.Command{Op: wire.OpStart, Task: task, Attempt: attempt}
}

// stop returns the command to stop the first attempt of a task.
func stop(task string, graceS float64) wire.Command {
	return wire.Command{Op: wire.OpStop, Task: task, Attempt: 1, GraceS: &graceS}
}

func TestPushIsFenced(t *testing.T) {
	for _, c := range []struct {
		name string
		push wire.CommandPush
		want int
	}{
		{"by the leader", wire.CommandPush{FencingToken: 5, Incarnation: 1}, http.StatusOK},
		{"by a later leader", wire.CommandPush{FencingToken: 6, Incarnation: 1}, http.StatusOK},
		{"by an earlier leader", wire.CommandPush{FencingToken: 4, Incarnation: 1}, http.StatusConflict},
		{"to another incarnation", wire.CommandPush{FencingToken: 5, Incarnation: 2}, http.StatusConflict},
		{"without a token", wire.CommandPush{Incarnation: 1}, http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorkerTest(t)
				w.controllers[0].setAnswer(accepting(5))
				time.Sleep(2 * testInterval)
				c.push.Commands = []wire.Command{start(testJob+"/0", 1)}
				if status := w.push(t, c.push); status != c.want {
					t.Errorf("status %d, want %d", status, c.want)
				}
				time.Sleep(testInterval)
				if started := len(w.checker.Placements(testJob)) == 1; started != (c.want == http.StatusOK) {
					t.Errorf("the task has started: %v", started)
				}
			})
		})
	}
}

// A task fetches its image and runs; what becomes of it is in the heartbeats.
func TestTaskStates(t *testing.T) {
	for _, c := range []struct {
		name     string
		commands []wire.Command
		after    time.Duration
		state    wire.TaskState
		reason   wire.ExitReason
		saved    bool
	}{
		{"runs", []wire.Command{start(testJob+"/0", 1)}, testInterval * 2, wire.TaskRunning, "", false},
		{"completes", []wire.Command{start(testJob+"/0", 1)}, testRunTime + 2*testInterval,
			wire.TaskExited, wire.ExitCompleted, false},
		{"is not known", []wire.Command{start("run-2/0", 1)}, testInterval * 2,
			wire.TaskExited, wire.ExitUnknownTask, false},
		{"has no room", []wire.Command{start(testJob+"/1", 1), start(testJob+"/0", 1)}, testInterval * 2,
			wire.TaskExited, wire.ExitInsufficientResources, false},
		{"is there in another attempt", []wire.Command{start(testJob+"/0", 1), start(testJob+"/0", 2)}, testInterval * 2,
			wire.TaskExited, wire.ExitConflictingAttempt, false},
		{"is stopped while it fetches its image", []wire.Command{start(testJob+"/0", 1), stop(testJob+"/0", 9)},
			testInterval * 2, wire.TaskExited, wire.ExitStopped, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorkerTest(t)
				w.push(t, wire.CommandPush{FencingToken: 1, Incarnation: 1, Commands: c.commands})
				time.Sleep(c.after)
				tasks := w.controllers[0].lastTasks()
				status := tasks[len(tasks)-1] // the last that was started
				if status.State != c.state || status.ExitReason != c.reason || status.CheckpointSaved != c.saved {
					t.Errorf("%+v", status)
				}
			})
		})
	}
}

// A task that runs saves a checkpoint before it stops if the command leaves it the time.
func TestCheckpoint(t *testing.T) {
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
				push := wire.CommandPush{FencingToken: 1, Incarnation: 1, Commands: []wire.Command{start(testJob+"/0", 1)}}
				w.push(t, push)
				time.Sleep(2 * testInterval)
				push.Commands = []wire.Command{stop(testJob+"/0", c.graceS)}
				w.push(t, push)
				time.Sleep(10 * time.Second)
				status := w.controllers[0].lastTasks()[0]
				if status.ExitReason != wire.ExitStopped || status.CheckpointSaved != c.saved {
					t.Errorf("%+v", status)
				}
				push.Commands = []wire.Command{{Op: wire.OpClear, Task: testJob + "/0", Attempt: 1}}
				w.push(t, push)
				time.Sleep(2 * testInterval)
				if tasks := w.controllers[0].lastTasks(); len(tasks) != 0 {
					t.Errorf("after the command to clear it: %+v", tasks)
				}
			})
		})
	}
}

// When no heartbeat is answered for the lease's duration, the tasks are killed and the next incarnation begins, also
// on a machine that hangs.
func TestLeaseExpiry(t *testing.T) {
	for _, c := range []struct {
		name        string
		fail        func(w *workerTest)
		repair      func(w *workerTest)
		lasts       time.Duration
		incarnation wire.AgentIncarnation
	}{
		{"partition", func(w *workerTest) { w.setLinks(LinkHeld) }, func(w *workerTest) { w.setLinks(LinkUp) },
			testLease + 2*time.Second, 2},
		{"short partition", func(w *workerTest) { w.setLinks(LinkHeld) }, func(w *workerTest) { w.setLinks(LinkUp) },
			testLease / 5, 1},
		{"hang", func(w *workerTest) { w.worker.Hang() }, func(w *workerTest) { w.worker.Resume() },
			testLease + 2*time.Second, 2},
		{"short hang", func(w *workerTest) { w.worker.Hang() }, func(w *workerTest) { w.worker.Resume() },
			testLease / 5, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorkerTest(t)
				w.worker.ReceiveLaunch(testJob+"/0", 1, 1)
				time.Sleep(3 * testInterval)
				c.fail(w)
				time.Sleep(c.lasts)
				retained := c.incarnation == 1
				if runs := len(w.checker.Placements(testJob)) == 1; runs != retained {
					t.Errorf("the task runs: %v, want %v", runs, retained)
				}
				c.repair(w)
				time.Sleep(5 * testInterval)
				heartbeat := w.lastHeartbeat()
				if heartbeat.Incarnation != c.incarnation || (len(heartbeat.Tasks) == 1) != retained {
					t.Errorf("%+v", heartbeat)
				}
			})
		})
	}
}

// setLinks sets the links of the machine to both controllers.
func (w *workerTest) setLinks(mode LinkMode) {
	w.network.SetLink("10.1.0.1", "10.0.0.1", mode)
	w.network.SetLink("10.1.0.1", "10.0.0.2", mode)
}

// lastHeartbeat returns the heartbeat with the greatest sequence number that a controller has got.
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

// Heartbeats go to the leader that a response names, and to the next controller when one does not serve them.
func TestHeartbeatFollowsLeader(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(http.ResponseWriter)
		moves  bool
	}{
		{"the leader", accepting(1), false},
		{"redirect to the other", redirecting("c1"), true},
		{"redirect to itself", redirecting("c0"), true},
		{"not served", func(rw http.ResponseWriter) { rw.WriteHeader(http.StatusServiceUnavailable) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorkerTest(t)
				w.controllers[0].setAnswer(c.answer)
				time.Sleep(5 * testInterval)
				if moved := len(w.controllers[1].received()) > 0; moved != c.moves {
					t.Errorf("heartbeats go to the other controller: %v, want %v", moved, c.moves)
				}
			})
		})
	}
}

// Copies of heartbeats arrive late, also once the machine is gone.
func TestDuplicateHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorkerTest(t)
		w.worker.DuplicateHeartbeats(20 * time.Second)
		time.Sleep(3 * testInterval)
		w.worker.Stop()
		before := len(w.controllers[0].received())
		time.Sleep(30 * time.Second)
		if copies := len(w.controllers[0].received()) - before; copies == 0 || copies > before {
			t.Errorf("%d copies of %d heartbeats", copies, before)
		}
	})
}
