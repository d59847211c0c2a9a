package drain

import (
	"errors"
	"slices"
	"testing"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

func TestPrepareValidatesAndSelects(t *testing.T) {
	planner := newPlanner(t, "1")
	for _, test := range []struct {
		name    string
		request Request
		want    []wire.MachineID
		err     error
	}{
		{name: "by zone", request: Request{Name: "x", Zone: "a"}, want: []wire.MachineID{"n-1", "n-2"}},
		{name: "by type", request: Request{Name: "x", Type: "small"}, want: []wire.MachineID{"n-1", "n-3"}},
		{name: "by type and zone", request: Request{Name: "x", Type: "small", Zone: "b"}, want: []wire.MachineID{"n-3"}},
		{name: "by age", request: Request{Name: "x", OlderThan: 2 * micros.Second}, want: []wire.MachineID{"n-1", "n-3"}},
		{name: "by name", request: Request{Name: "x", Machines: []wire.MachineID{"n-2", "n-1"}},
			want: []wire.MachineID{"n-1", "n-2"}},
		{name: "an unknown machine",
			request: Request{Name: "x", Machines: []wire.MachineID{"n-2", "n-9"}}, err: ErrUnknownMachine},
		{name: "no machine matches", request: Request{Name: "x", Zone: "c"}, err: ErrNoMatch},
		{name: "no selector", request: Request{Name: "x"}, err: ErrNoSelection},
		{name: "no name", request: Request{Name: "", Zone: "a"}, err: ErrInvalidName},
		{name: "a malformed name", request: Request{Name: "a/b", Zone: "a"}, err: ErrInvalidName},
		{name: "a negative deadline", request: Request{Name: "x", Zone: "a", Deadline: -1}, err: ErrNegativeDuration},
		{name: "a negative age", request: Request{Name: "x", Zone: "a", OlderThan: -1}, err: ErrNegativeDuration},
		{name: "a budget of an unknown team",
			request: Request{Name: "x", Zone: "a", Budgets: map[wire.TeamName]string{"green": "1"}}, err: ErrUnknownTeam},
		{name: "an invalid budget",
			request: Request{Name: "x", Zone: "a", Budgets: map[wire.TeamName]string{"red": "-1"}},
			err:     disruption.ErrInvalidBudget},
	} {
		t.Run(test.name, func(t *testing.T) {
			prepared, err := planner.Prepare(test.request, 0, knownMachines)
			if !errors.Is(err, test.err) {
				t.Errorf("error %v, want %v", err, test.err)
			}
			if !slices.Equal(prepared.Machines, test.want) {
				t.Errorf("machines %v, want %v", prepared.Machines, test.want)
			}
		})
	}
}

func TestPrepareIsIdempotent(t *testing.T) {
	planner := newPlanner(t, "1")
	startDrain(t, planner, Request{Name: "x", Zone: "a"}, knownMachines)
	prepared, err := planner.Prepare(Request{Name: "x", Zone: "a"}, 5, knownMachines[:1])
	if err != nil || !prepared.Exists {
		t.Errorf("repeated request: %+v, error %v, want an existing drain", prepared, err)
	}
	if _, err := planner.Prepare(Request{Name: "x", Zone: "b"}, 0, knownMachines); !errors.Is(err, ErrNameInUse) {
		t.Errorf("different request with the same name: error %v, want ErrNameInUse", err)
	}
}

// Fingerprints are stored in the durable records, so every version of the program must compute the same ones.
func TestFingerprintIsStable(t *testing.T) {
	for _, test := range []struct {
		name    string
		request Request
		want    string
	}{
		{name: "by zone", request: Request{Name: "x", Zone: "a"}, want: "79fbdabce7ff83ba88a69cd3"},
		{name: "all fields", request: Request{
			Name:            "x",
			Machines:        []wire.MachineID{"n-2", "n-1"},
			Zone:            "a",
			Type:            "small",
			OlderThan:       7,
			Step:            3,
			Deadline:        1000,
			EvictAtDeadline: true,
			Budgets:         map[wire.TeamName]string{"red": "3", "blue": "10%"},
		}, want: "34ebffab8eb80a552e2bb86d"},
	} {
		if got := test.request.fingerprint(); got != test.want {
			t.Errorf("%s: fingerprint %s, want %s", test.name, got, test.want)
		}
	}
}

func TestChangeState(t *testing.T) {
	for _, test := range []struct {
		name      string
		from, to  State
		unchanged bool
		err       error
	}{
		{name: "pause", from: Running, to: Paused},
		{name: "resume", from: Paused, to: Running},
		{name: "cancel", from: Running, to: Cancelled},
		{name: "cancel while paused", from: Paused, to: Cancelled},
		{name: "pause twice", from: Paused, to: Paused, unchanged: true},
		{name: "cancel twice", from: Cancelled, to: Cancelled, unchanged: true},
		{name: "resume after cancel", from: Cancelled, to: Running, err: ErrDrainEnded},
		{name: "cancel when done", from: Done, to: Cancelled, err: ErrDrainEnded},
	} {
		t.Run(test.name, func(t *testing.T) {
			planner := newPlanner(t, "1")
			startDrain(t, planner, Request{Name: "x", Zone: "a"}, knownMachines)
			record := planner.drains["x"].record
			record.State = string(test.from)
			if err := planner.Apply(record, nil, 7); err != nil {
				t.Fatal(err)
			}
			change, err := planner.ChangeState("x", test.to)
			if !errors.Is(err, test.err) || change.Unchanged != test.unchanged {
				t.Fatalf("change %+v, error %v, want unchanged %v, error %v", change, err, test.unchanged, test.err)
			}
			if err == nil && (State(change.Record.State) != test.to || change.Version != 7) {
				t.Errorf("state %s, previous version %d, want state %s, previous version 7",
					change.Record.State, change.Version, test.to)
			}
		})
	}
	if _, err := newPlanner(t, "1").ChangeState("y", Paused); !errors.Is(err, ErrUnknownDrain) {
		t.Errorf("unknown drain: error %v, want ErrUnknownDrain", err)
	}
}
