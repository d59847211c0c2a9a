package scaling

import (
	"context"
	"errors"
	"log/slog"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/cloud"
	"saffronbend/internal/eventloop"
	"saffronbend/internal/fleet"
	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// TestListInterval checks that reading lists uses at most a quarter of the allowed request rate: the interval in
// seconds is four times the number of pages, divided by the requests per second, but at least 1 s.
func TestListInterval(t *testing.T) {
	cases := map[string]struct {
		machines          int
		requestsPerSecond float64
		want              micros.Duration
	}{
		"minimum interval":      {10, 100, micros.Second},
		"one page":              {wire.MachinePageSize - 1, 2, 2 * micros.Second},
		"eight pages":           {8*wire.MachinePageSize - 1, 8, 4 * micros.Second},
		"no known machines":     {0, 4, micros.Second},
		"very low request rate": {0, 0.5, 8 * micros.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := listInterval(c.machines, c.requestsPerSecond); got != c.want {
				t.Errorf("listInterval(%d, %g) = %v, want %v", c.machines, c.requestsPerSecond, got, c.want)
			}
		})
	}
}

// termStart is when the terms of the tests begin. No result depends on it.
const termStart = micros.Timestamp(0)

func TestObserveSnapshotDetectsOverdueHeartbeats(t *testing.T) {
	const heartbeatInterval = 2 * micros.Second
	const heartbeatTimeout = 2*heartbeatInterval + micros.Second
	const now = micros.Timestamp(micros.Minute)
	machine := func(sinceHeartbeat micros.Duration) *snapshot.Machine {
		return &snapshot.Machine{State: wire.MachineRunning, LastHeartbeat: now.Add(-sinceHeartbeat)}
	}
	starting, deleting := machine(micros.Minute), machine(micros.Minute)
	starting.State, deleting.Deleting = wire.MachineStarting, true
	cases := map[string]struct {
		machine *snapshot.Machine
		want    bool
	}{
		"heartbeat in time":     {machine(heartbeatTimeout), false},
		"heartbeat overdue":     {machine(heartbeatTimeout + 1), true},
		"machine starting":      {starting, false},
		"machine being deleted": {deleting, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			executor := New(Config{Fleet: fleet.Config{HeartbeatInterval: heartbeatInterval}}, termStart)
			executor.ObserveSnapshot(now, &snapshot.Snapshot{Machines: []*snapshot.Machine{machine(0), c.machine}})
			if got := executor.heartbeatOverdue.Load(); got != c.want {
				t.Errorf("heartbeatOverdue = %v, want %v", got, c.want)
			}
		})
	}
}

// fakeCloud returns the next of errs for each request, and nil after the last.
type fakeCloud struct {
	Cloud
	errs     []error
	requests int
}

func (c *fakeCloud) next() error {
	c.requests++
	if c.requests > len(c.errs) {
		return nil
	}
	return c.errs[c.requests-1]
}

func (c *fakeCloud) ScaleOut(context.Context, wire.ScaleOutRequest) ([]wire.MachineID, error) {
	if err := c.next(); err != nil {
		return nil, err
	}
	return []wire.MachineID{"m1"}, nil
}

func (c *fakeCloud) ScaleIn(context.Context, []wire.MachineID) error { return c.next() }

// fakeManager records the machines that are reported to it as created and deleted.
type fakeManager struct {
	Manager
	scaledOut, deleted [][]wire.MachineID
}

func (m *fakeManager) RegisterCreatedMachines(_ micros.Timestamp, _ wire.ScaleOutRequest, machines []wire.MachineID) {
	m.scaledOut = append(m.scaledOut, machines)
}

func (m *fakeManager) DeletionRequested([]wire.MachineID) {}

func (m *fakeManager) MachinesDeleted(_ micros.Timestamp, machines []wire.MachineID) {
	m.deleted = append(m.deleted, machines)
}

// runLoop calls f on the goroutine of an event loop and then runs the loop for a minute of virtual time. The cloud
// returns errs for the first requests, in order.
func runLoop(t *testing.T, errs []error, f func(ctx context.Context, executor *Executor)) (*fakeCloud, *fakeManager) {
	t.Helper()
	fake, manager := &fakeCloud{errs: errs}, &fakeManager{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		loop := eventloop.New()
		executor := New(Config{Log: slog.New(slog.DiscardHandler), Loop: loop, Cloud: fake, Manager: manager}, termStart)
		f(ctx, executor)
		for {
			select {
			case event := <-loop.Events():
				loop.Handle(ctx, event, micros.NewClock())
			case <-ctx.Done():
				loop.Stop()
				return
			}
		}
	})
	return fake, manager
}

func TestScaleOutRetriesUntilOutcomeKnown(t *testing.T) {
	errUnknown := errors.New("no response")
	cases := map[string]struct {
		errs     []error
		requests int
		want     [][]wire.MachineID // the machines in each report to the manager
	}{
		"created":                  {nil, 1, [][]wire.MachineID{{"m1"}}},
		"created after two errors": {[]error{errUnknown, errUnknown}, 3, [][]wire.MachineID{{"m1"}}},
		// A refusal for lack of capacity is a known outcome: one report without machines.
		"no capacity after an error": {[]error{errUnknown, cloud.ErrNoCapacity}, 2, [][]wire.MachineID{nil}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			fake, manager := runLoop(t, c.errs, func(ctx context.Context, executor *Executor) {
				executor.cfg.Loop.Go(func() { executor.scaleOut(ctx, wire.ScaleOutRequest{Count: 1}) })
			})
			if fake.requests != c.requests || !reflect.DeepEqual(manager.scaledOut, c.want) {
				t.Errorf("got %d requests, created %v; want %d, %v", fake.requests, manager.scaledOut, c.requests, c.want)
			}
		})
	}
}

func TestScaleInRetriesUntilDeleted(t *testing.T) {
	errUnknown := errors.New("no response")
	fake, manager := runLoop(t, []error{errUnknown}, func(ctx context.Context, executor *Executor) {
		executor.ScaleIn(ctx, []wire.MachineID{"m1", "m2"})
	})
	if want := [][]wire.MachineID{{"m1", "m2"}}; fake.requests != 2 || !reflect.DeepEqual(manager.deleted, want) {
		t.Errorf("got %d requests, deleted %v; want 2, %v", fake.requests, manager.deleted, want)
	}
}
