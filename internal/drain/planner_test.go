package drain

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// A machine is cordoned while a drain that includes it is running or paused; if two drains include it, until both have
// ended.
func TestMachineIsCordonedWhileADrainIncludesIt(t *testing.T) {
	planner := newPlanner(t, "1")
	startDrain(t, planner, Request{Name: "x", Zone: "a"}, knownMachines)
	startDrain(t, planner, Request{Name: "y", Type: "small"}, knownMachines)
	changeState(t, planner, "x", Paused, true, nil)
	changeState(t, planner, "x", Paused, false, nil)
	if len(planner.Cordons()) != 3 {
		t.Errorf("cordoned machines: %v, want all 3", planner.Cordons())
	}
	changeState(t, planner, "x", Cancelled, true, nil)
	changeState(t, planner, "x", Running, false, ErrDrainEnded)
	if cordons := planner.Cordons(); len(cordons) != 2 || !cordons["n-1"] || !cordons["n-3"] {
		t.Errorf("cordoned machines: %v, want n-1 and n-3", cordons)
	}
	changeState(t, planner, "y", Cancelled, true, nil)
	if planner.HasCordons() {
		t.Errorf("cordoned machines: %v, want none", planner.Cordons())
	}
}

// changeState changes a drain's state, applies the record if it has changed, and checks the outcome.
func changeState(t *testing.T, planner *Planner, name string, to State, wantChange bool, wantErr error) {
	t.Helper()
	change, err := planner.ChangeState(name, to)
	changed := err == nil && !change.Unchanged
	if changed != wantChange || !errors.Is(err, wantErr) {
		t.Fatalf("change drain %s to %s: changed %v, want %v; error %v, want %v", name, to, changed, wantChange, err, wantErr)
	}
	if !changed {
		return
	}
	if err := planner.Apply(change.Record, nil, change.Version+1); err != nil {
		t.Fatal(err)
	}
}

// Only a drain that selects by zone or type alone vacates a pool; one that also selects by name or age doesn't.
func TestVacatedPools(t *testing.T) {
	planner := newPlanner(t, "1")
	startDrain(t, planner, Request{Name: "zone", Zone: "a"}, knownMachines)
	startDrain(t, planner, Request{Name: "old", Zone: "b", OlderThan: micros.Second}, knownMachines)
	startDrain(t, planner, Request{Name: "named", Type: "small", Machines: []wire.MachineID{"n-3"}}, knownMachines)
	pools := planner.VacatedPools()
	if !slices.Equal(pools, []VacatedPool{{Zone: "a"}}) {
		t.Fatalf("vacated pools: %v, want zone a only", pools)
	}
	if !pools[0].Includes("small", "a") || pools[0].Includes("small", "b") {
		t.Errorf("%v doesn't include zone a only", pools[0])
	}
}

// The number of kept records of ended drains is limited: the oldest ones are deleted.
func TestOldestEndedDrainsArePrunable(t *testing.T) {
	planner := newPlanner(t, "1")
	for i := range maxRetainedDrains + 2 {
		record := state.DrainRecord{Name: fmt.Sprint(i), State: string(Done), StartedAt: int64(i)}
		if err := planner.Apply(record, nil, 1); err != nil {
			t.Fatal(err)
		}
	}
	if got := planner.PrunableDrains(); !slices.Equal(got, []string{"0", "1"}) {
		t.Errorf("prunable drains: %v, want 0 and 1", got)
	}
}
