package drain

import (
	"fmt"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// KnownMachine is an existing machine, which a request may select.
type KnownMachine struct {
	ID         wire.MachineID
	Zone, Type string
	Age        micros.Duration // time since the machine was registered
}

// selectMachines returns the identifiers of the known machines that match all selectors of a request, in alphabetical
// order. Each machine that the request names must exist, but isn't selected if it doesn't match the other selectors.
func (r *Request) selectMachines(known []KnownMachine) ([]wire.MachineID, error) {
	if len(r.Machines) == 0 && r.Zone == "" && r.Type == "" && r.OlderThan == 0 {
		return nil, ErrNoSelection
	}
	unknown := map[wire.MachineID]bool{}
	for _, id := range r.Machines {
		unknown[id] = true
	}
	var selected []wire.MachineID
	for _, machine := range known {
		named := unknown[machine.ID]
		delete(unknown, machine.ID)
		if (named || len(r.Machines) == 0) && r.matchesProperties(machine) {
			selected = append(selected, machine.ID)
		}
	}
	if len(unknown) > 0 {
		return nil, fmt.Errorf("%w: %s", ErrUnknownMachine, slices.Sorted(maps.Keys(unknown))[0])
	}
	if len(selected) == 0 {
		return nil, ErrNoMatch
	}
	slices.Sort(selected)
	return selected, nil
}

// matchesProperties reports whether a machine's zone, type and age match the selectors of a request.
func (r *Request) matchesProperties(machine KnownMachine) bool {
	return (r.Zone == "" || machine.Zone == r.Zone) &&
		(r.Type == "" || machine.Type == r.Type) &&
		machine.Age >= r.OlderThan
}

// selectsWholePool reports whether the request selects all machines of a zone, of a type, or of a type in a zone, so
// that no machines should be added to this pool while the drain is active.
func (r *Request) selectsWholePool() bool { return len(r.Machines) == 0 && r.OlderThan == 0 }
