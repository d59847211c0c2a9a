package drain

import (
	"fmt"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// KnownMachine is a machine that a request may select.
type KnownMachine struct {
	ID         wire.MachineID
	Zone, Type string
	Age        micros.Duration // since it was registered
}

// selectMachines returns the identifiers of the known machines that match all selectors of a request, in alphabetical
// order. A named machine must exist, but isn't selected if it doesn't match the other selectors.
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

// matchesProperties reports whether a machine's zone, type and age match.
func (r *Request) matchesProperties(machine KnownMachine) bool {
	return (r.Zone == "" || machine.Zone == r.Zone) &&
		(r.Type == "" || machine.Type == r.Type) &&
		machine.Age >= r.OlderThan
}

// selectsWholePool reports whether the drain vacates a zone or a type as a whole, so that no machines should be added
// there meanwhile.
func (r *Request) selectsWholePool() bool { return len(r.Machines) == 0 && r.OlderThan == 0 }
