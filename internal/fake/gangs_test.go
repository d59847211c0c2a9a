package fake

import (
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

const (
	testFormTimeout = 20 * time.Second
	testPeerTimeout = 4 * time.Second
)

// gangTest is an attempt of a gang of two tasks, which saves a checkpoint every 5 s and takes 2 s to do so.
type gangTest struct {
	runtime  *GangRuntime
	tasks    [2]*workerTask
	joinedAt time.Time
}

// newGang returns an attempt of the gang. Its first task has joined.
func newGang(runtime *GangRuntime, attempt wire.AttemptID) *gangTest {
	job := wire.Job{ID: testJob, Kind: wire.KindGang, Tasks: 2, CheckpointIntervalS: 5, CheckpointSaveS: 2}
	g := &gangTest{runtime: runtime, joinedAt: time.Now()}
	for i := range g.tasks {
		g.tasks[i] = &workerTask{id: invariant.Task{Job: testJob, Index: i}, attempt: attempt, job: job}
	}
	runtime.join(g.tasks[0])
	return g
}

// poll has the tasks of the given indexes poll for the given duration, and returns the last outcome of each.
func (g *gangTest) poll(duration time.Duration, indexes ...int) (outcomes [2]gangOutcome) {
	for end := time.Now().Add(duration); ; time.Sleep(gangPollInterval) {
		for _, i := range indexes {
			outcomes[i] = g.runtime.outcome(g.tasks[i], g.joinedAt, testRunTime)
		}
		if !time.Now().Before(end) {
			return outcomes
		}
	}
}

func TestGangOutcome(t *testing.T) {
	both := func(outcome gangOutcome) [2]gangOutcome { return [2]gangOutcome{outcome, outcome} }
	first := func(outcome gangOutcome) [2]gangOutcome { return [2]gangOutcome{outcome, {}} }
	for _, c := range []struct {
		name  string
		run   func(g *gangTest) [2]gangOutcome
		want  [2]gangOutcome
		saved time.Duration
	}{
		{"waits for its peer", func(g *gangTest) [2]gangOutcome {
			return g.poll(testFormTimeout-time.Second, 0)
		}, first(gangOutcome{}), 0},
		{"has waited for its peer for too long", func(g *gangTest) [2]gangOutcome {
			return g.poll(testFormTimeout, 0)
		}, first(gangOutcome{exitReason: wire.ExitGangTimeout}), 0},
		{"runs", func(g *gangTest) [2]gangOutcome {
			g.runtime.join(g.tasks[1])
			return g.poll(testRunTime-time.Second, 0, 1)
		}, both(gangOutcome{running: true}), 0},
		{"completes", func(g *gangTest) [2]gangOutcome {
			g.runtime.join(g.tasks[1])
			return g.poll(testRunTime, 0, 1)
		}, both(gangOutcome{running: true, exitReason: wire.ExitCompleted}), 0},
		{"loses a peer after a checkpoint", func(g *gangTest) [2]gangOutcome {
			g.runtime.join(g.tasks[1])
			g.poll(7*time.Second, 0, 1)
			g.runtime.leave(g.tasks[1])
			return g.poll(testPeerTimeout/2, 0)
		}, first(gangOutcome{running: true, exitReason: wire.ExitGangPeerTerminated}), 5 * time.Second},
		{"has a peer on a machine that hangs", func(g *gangTest) [2]gangOutcome {
			g.runtime.join(g.tasks[1])
			g.poll(time.Second, 0, 1)
			return g.poll(unresponsiveAfter+testPeerTimeout/2+2*gangPollInterval, 0)
		}, first(gangOutcome{running: true, exitReason: wire.ExitGangPeerTerminated}), 0},
		{"is stopped and saves a checkpoint", func(g *gangTest) [2]gangOutcome {
			g.runtime.join(g.tasks[1])
			g.poll(7*time.Second, 0, 1)
			g.runtime.stopCommanded(g.tasks[0])
			g.runtime.stopCommanded(g.tasks[1])
			return g.poll(2*time.Second, 0, 1)
		}, both(gangOutcome{running: true, exitReason: wire.ExitStopped, checkpointSaved: true}), 7 * time.Second},
		{"is stopped without its peer", func(g *gangTest) [2]gangOutcome {
			g.runtime.join(g.tasks[1])
			g.poll(7*time.Second, 0, 1)
			g.runtime.stopCommanded(g.tasks[0])
			return g.poll(testPeerTimeout, 0, 1)
		}, both(gangOutcome{running: true, exitReason: wire.ExitGangPeerTerminated}), 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runtime := NewGangRuntime(testFormTimeout, testPeerTimeout)
				if got := c.run(newGang(runtime, 1)); got != c.want {
					t.Errorf("outcomes %+v, want %+v", got, c.want)
				}
				if saved := runtime.SavedProgress(testJob); saved != c.saved {
					t.Errorf("saved progress %v, want %v", saved, c.saved)
				}
			})
		})
	}
}

// TestGangResumesFromCheckpoint checks that the next attempt of a gang continues from the saved progress.
func TestGangResumesFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runtime := NewGangRuntime(testFormTimeout, testPeerTimeout)
		g := newGang(runtime, 1)
		runtime.join(g.tasks[1])
		g.poll(7*time.Second, 0, 1)
		runtime.leave(g.tasks[1])
		g = newGang(runtime, 2)
		runtime.join(g.tasks[1])
		if outcome := g.poll(testRunTime-6*time.Second, 0, 1)[0]; outcome.exitReason != "" {
			t.Errorf("outcome %+v before the end of the remaining run time, want no exit", outcome)
		}
		if outcome := g.poll(time.Second, 0, 1)[0]; outcome.exitReason != wire.ExitCompleted {
			t.Errorf("outcome %+v after the remaining run time, want exit reason %q", outcome, wire.ExitCompleted)
		}
	})
}
