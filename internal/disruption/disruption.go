// Package disruption keeps account of running work that is disturbed: of each task whose running attempt was stopped or
// lost, until a successor is reported running. Drains, losses and preemption share one ledger, against which the teams'
// disruption budgets are held.
//
// The ledger is a state machine without I/O and without a clock, owned by the goroutine of the leading controller.
package disruption

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"saffronbend/internal/micros"
)

// Task names a task of a job.
type Task struct {
	Job   string
	Index int
}

func (t Task) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// Cause says why a running attempt came to its end. It is part of the durable records.
type Cause string

// Causes.
const (
	Drain      Cause = "drain"      // evicted from a machine that is drained
	Reclaimed  Cause = "reclaimed"  // the cloud takes the machine back
	Preemption Cause = "preemption" // made room for more urgent work
	Lost       Cause = "lost"       // with its machine, or its session on it
	Gang       Cause = "gang"       // another task of its gang was disturbed
	Rebalance  Cause = "rebalance"  // moved to a machine with less load
)

// Disturbance is a task whose running attempt was stopped or lost, and whose successor does not run yet.
type Disruption struct {
	Task    Task
	Team    string
	Attempt uint64 // that was stopped or lost
	Cause   Cause
	Since   micros.Timestamp
}

// Ledger holds the open disturbances. A nil ledger keeps no account.
type Ledger struct {
	open   map[Task]Disruption
	byTeam map[string]int
	byJob  map[string]map[int]bool
}

// NewLedger makes a ledger without disturbances.
func NewLedger() *Ledger {
	return &Ledger{open: map[Task]Disruption{}, byTeam: map[string]int{}, byJob: map[string]map[int]bool{}}
}

// Begin enters a disturbance, unless the task is disturbed already: whatever happens to a task before it runs again is
// part of the same disturbance.
func (l *Ledger) Begin(d Disruption) bool {
	if l == nil {
		return false
	}
	if _, ok := l.open[d.Task]; ok {
		return false
	}
	l.open[d.Task] = d
	l.byTeam[d.Team]++
	if l.byJob[d.Task.Job] == nil {
		l.byJob[d.Task.Job] = map[int]bool{}
	}
	l.byJob[d.Task.Job][d.Task.Index] = true
	return true
}

// End takes out the disturbance of a task, if it is disturbed.
func (l *Ledger) End(t Task) (Disruption, bool) {
	if l == nil {
		return Disruption{}, false
	}
	d, ok := l.open[t]
	if !ok {
		return d, false
	}
	delete(l.open, t)
	l.byTeam[d.Team]--
	delete(l.byJob[t.Job], t.Index)
	if len(l.byJob[t.Job]) == 0 {
		delete(l.byJob, t.Job)
	}
	return d, true
}

// EndJob takes out the disturbances of a job that is over.
func (l *Ledger) EndJob(job string) {
	if l == nil {
		return
	}
	for _, i := range l.TasksOfJob(job) {
		l.End(Task{job, i})
	}
}

// Get gives the disturbance of a task.
func (l *Ledger) Get(t Task) (Disruption, bool) {
	if l == nil {
		return Disruption{}, false
	}
	d, ok := l.open[t]
	return d, ok
}

// OfJob gives the disturbed tasks of a job in ascending order.
func (l *Ledger) TasksOfJob(job string) []int {
	if l == nil {
		return nil
	}
	tasks := make([]int, 0, len(l.byJob[job]))
	for i := range l.byJob[job] {
		tasks = append(tasks, i)
	}
	slices.Sort(tasks)
	return tasks
}

// Open gives the number of a team's disturbed tasks.
func (l *Ledger) CountForTeam(team string) int {
	if l == nil {
		return 0
	}
	return l.byTeam[team]
}

// All gives the open disturbances, the oldest first.
func (l *Ledger) All() []Disruption {
	if l == nil {
		return nil
	}
	out := make([]Disruption, 0, len(l.open))
	for _, d := range l.open {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Disruption) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return out
}

// Budget bounds how many of a team's tasks may be disturbed at once: a number, or a share of its running tasks.
type Budget struct {
	count int
	share float64
	text  string
}

// ErrBudget says that a text is no budget.
var ErrInvalidBudget = errors.New(`a budget is a number of tasks such as "3" or a share of the running ones such as "10%"`)

// ParseBudget reads a budget.
func ParseBudget(text string) (Budget, error) {
	if percent, ok := strings.CutSuffix(text, "%"); ok {
		p, err := strconv.ParseFloat(percent, 64)
		if err != nil || !(p >= 0 && p <= 100) {
			return Budget{}, fmt.Errorf("%q: %w", text, ErrInvalidBudget)
		}
		return Budget{share: p / 100, text: text}, nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return Budget{}, fmt.Errorf("%q: %w", text, ErrInvalidBudget)
	}
	return Budget{count: int(n), text: text}, nil
}

func (b Budget) String() string { return b.text }

// Allowed gives how many tasks may be disturbed at once when so many run or would run. A share is rounded down.
func (b Budget) Allowed(running int) int {
	if b.share > 0 {
		const rounding = 1e-9
		return int(math.Floor(b.share*float64(running) + rounding))
	}
	return b.count
}
