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

// Cordons last while a drain runs or is paused, and as long as any of two drains of a machine does.
func TestCordons(t *testing.T) {
	planner := newPlanner(t, "1")
	begin(t, planner, Request{Name: "x", Zone: "a"}, knownMachines)
	begin(t, planner, Request{Name: "y", Type: "small"}, knownMachines)
	changeState(t, planner, "x", Paused, true, nil)
	changeState(t, planner, "x", Paused, false, nil)
	if len(planner.Cordons()) != 3 {
		t.Errorf("cordons %v", planner.Cordons())
	}
	changeState(t, planner, "x", Cancelled, true, nil)
	changeState(t, planner, "x", Running, false, ErrDrainEnded)
	if cordons := planner.Cordons(); len(cordons) != 2 || !cordons["n-1"] || !cordons["n-3"] {
		t.Errorf("cordons %v", cordons)
	}
	changeState(t, planner, "y", Cancelled, true, nil)
	if planner.Active() {
		t.Errorf("cordons %v", planner.Cordons())
	}
}

// changeState changes a drain's state and applies the record, if there is a change.
func changeState(t *testing.T, planner *Planner, name string, to State, wantChange bool, wantErr error) {
	t.Helper()
	change, err := planner.ChangeState(name, to)
	changed := err == nil && !change.Unchanged
	if changed != wantChange || !errors.Is(err, wantErr) {
		t.Fatalf("%s %s: changed %v, error %v", name, to, changed, err)
	}
	if !changed {
		return
	}
	if err := planner.Apply(change.Record, nil, change.Version+1); err != nil {
		t.Fatal(err)
	}
}

// A zone or a type is vacated as a whole; named or old machines aren't.
func TestVacated(t *testing.T) {
	planner := newPlanner(t, "1")
	begin(t, planner, Request{Name: "zone", Zone: "a"}, knownMachines)
	begin(t, planner, Request{Name: "old", Zone: "b", OlderThan: micros.Second}, knownMachines)
	begin(t, planner, Request{Name: "named", Type: "small", Machines: []wire.MachineID{"n-3"}}, knownMachines)
	pools := planner.VacatedPools()
	if !slices.Equal(pools, []VacatedPool{{Zone: "a"}}) {
		t.Fatalf("vacated: %v", pools)
	}
	if !pools[0].Includes("small", "a") || pools[0].Includes("small", "b") {
		t.Errorf("%v doesn't include just zone a", pools[0])
	}
}

// The records of ended drains are bounded: the oldest are deleted.
func TestPrunableDrains(t *testing.T) {
	planner := newPlanner(t, "1")
	for i := range maxRetainedDrains + 2 {
		record := state.DrainRecord{Name: fmt.Sprint(i), State: string(Done), StartedAt: int64(i)}
		if err := planner.Apply(record, nil, 1); err != nil {
			t.Fatal(err)
		}
	}
	if got := planner.PrunableDrains(); !slices.Equal(got, []string{"0", "1"}) {
		t.Errorf("prunable: %v", got)
	}
}
