package drain

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// Errors of requests, which are shown to operators. They may be wrapped with details.
var (
	// ErrUnknownDrain is returned if no drain has the given name.
	ErrUnknownDrain = errors.New("no such drain")
	// ErrNameInUse is returned if a drain of the same name exists that was requested with different arguments.
	ErrNameInUse = errors.New("the name is in use for another drain")
	// ErrDrainEnded is returned for a state change of a drain that is done or cancelled.
	ErrDrainEnded = errors.New("the drain is over")
	// ErrNoMatch is returned if no machine matches a request.
	ErrNoMatch = errors.New("no machine matches")
	// ErrUnknownMachine is returned if a request names a machine that doesn't exist.
	ErrUnknownMachine = errors.New("no such machine")
	// ErrUnknownTeam is returned if a request has a budget for a team that doesn't exist.
	ErrUnknownTeam = errors.New("no such team")
	// ErrInvalidName is returned for a malformed name.
	ErrInvalidName = errors.New("a drain's name has 1 to 64 letters, digits, dots and hyphens, " +
		"and begins with a letter or digit")
	// ErrNoSelection is returned for a request without any selector of machines.
	ErrNoSelection = errors.New("a drain needs machines, a zone, a type or an age")
	// ErrTooManyDrains is returned while maxActiveDrains drains are active.
	ErrTooManyDrains = errors.New("there are too many drains")
	// ErrNegativeDuration is returned for a negative deadline or age.
	ErrNegativeDuration = errors.New("a deadline and an age are at least 0 s")
)

// MaxStep is the maximum number of machines of a drain that are emptied at the same time.
const MaxStep = 1000

var nameFormat = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.-]{0,63}$`)

// Request is an operator's request to start a drain. It selects the machines that match all of the selectors Machines,
// Zone, Type and OlderThan. At least one of them must be set; one that isn't set matches every machine.
type Request struct {
	Name            string
	Machines        []wire.MachineID
	Zone, Type      string
	OlderThan       micros.Duration
	Step            int                      // machines emptied at a time, at most MaxStep; 0 for the configured number
	Deadline        micros.Duration          // time from the start of the drain; 0 for none
	EvictAtDeadline bool                     // after the deadline, evict tasks that can't write a checkpoint, too
	Budgets         map[wire.TeamName]string // disruption budgets by team, as disruption.ParseBudget parses them
}

// fingerprint returns a hash of the arguments of a request, by which a repetition of the request is recognized. The
// fingerprint is part of the durable record.
func (r *Request) fingerprint() string {
	machines := slices.Sorted(slices.Values(r.Machines))
	budgets := ""
	for _, team := range slices.Sorted(maps.Keys(r.Budgets)) {
		budgets += fmt.Sprintf("%q=%s,", team, r.Budgets[team])
	}
	text := fmt.Sprintf("%q %q %q %d %d %d %v %s",
		machines, r.Zone, r.Type, r.OlderThan, r.Step, r.Deadline, r.EvictAtDeadline, budgets)
	const length = 12 // bytes
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:length])
}

// PreparedDrain is the record and the selected machines of a valid request, to be made durable.
type PreparedDrain struct {
	Record   state.DrainRecord
	Machines []wire.MachineID // machines of the drain, in alphabetical order
	// Exists says that the drain already exists: the request is a repetition, and nothing has to be written.
	Exists bool
}

// Prepare validates a request and selects its machines among the known ones. wallClock is the time of day in
// microseconds since 1970. The error is or wraps one of this package, or it wraps disruption.ErrInvalidBudget.
func (p *Planner) Prepare(request Request, wallClock int64, known []KnownMachine) (PreparedDrain, error) {
	if !nameFormat.MatchString(request.Name) {
		return PreparedDrain{}, ErrInvalidName
	}
	if existing := p.drains[request.Name]; existing != nil {
		if existing.record.RequestFingerprint != request.fingerprint() {
			return PreparedDrain{}, ErrNameInUse
		}
		return PreparedDrain{Record: existing.record, Exists: true}, nil
	}
	if err := p.validate(&request); err != nil {
		return PreparedDrain{}, err
	}
	machines, err := request.selectMachines(known)
	if err != nil {
		return PreparedDrain{}, err
	}
	record := state.DrainRecord{
		Name:               request.Name,
		State:              string(Running),
		RequestFingerprint: request.fingerprint(),
		Step:               cmp.Or(request.Step, p.cfg.StepSize),
		StartedAt:          wallClock,
		EvictAtDeadline:    request.EvictAtDeadline,
		Budgets:            request.Budgets,
		MachineCount:       len(machines),
	}
	if request.selectsWholePool() {
		record.Zone, record.Type = request.Zone, request.Type
	}
	if request.Deadline > 0 {
		record.Deadline = wallClock + int64(request.Deadline)
	}
	return PreparedDrain{Record: record, Machines: machines}, nil
}

// validate checks the durations and budgets of a request, and whether another drain may be started.
func (p *Planner) validate(request *Request) error {
	if request.Deadline < 0 || request.OlderThan < 0 {
		return ErrNegativeDuration
	}
	for _, team := range slices.Sorted(maps.Keys(request.Budgets)) {
		if !slices.Contains(p.cfg.Teams, team) {
			return fmt.Errorf("%w: %q", ErrUnknownTeam, team)
		}
		if _, err := disruption.ParseBudget(request.Budgets[team]); err != nil {
			return err
		}
	}
	if active := len(p.activeDrains()); active >= maxActiveDrains {
		return fmt.Errorf("%w: %d are not over", ErrTooManyDrains, active)
	}
	return nil
}

// StateChange is a drain's record with a new state, to be made durable.
type StateChange struct {
	Record  state.DrainRecord
	Version uint64 // version of the current record, for the compare-and-swap that writes the new one
	// Unchanged says that the drain is already in the new state: nothing has to be written.
	Unchanged bool
}

// ChangeState returns the record of a drain with a new state. The error is ErrUnknownDrain, or wraps ErrDrainEnded.
func (p *Planner) ChangeState(name string, to State) (StateChange, error) {
	d := p.drains[name]
	if d == nil {
		return StateChange{}, ErrUnknownDrain
	}
	change := StateChange{Record: d.record, Version: d.version}
	if d.state() == to {
		change.Unchanged = true
		return change, nil
	}
	if !d.state().Active() {
		return StateChange{}, fmt.Errorf("%w: it is %s", ErrDrainEnded, d.record.State)
	}
	change.Record.State = string(to)
	return change, nil
}
