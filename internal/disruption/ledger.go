// Package disruption records which tasks are disrupted. A task is disrupted from the moment at which its running
// attempt is stopped or lost until a successor attempt is reported running, the task is done or its job has ended.
// Drains, rebalancing, preemption, reclaimed machines and lost machines share one Ledger. A team's disruption budget
// (Budget) limits the disruptions that drains and rebalancing may add; disruptions by the other causes count against
// the budget, but are never prevented by it.
//
// Package manager owns the ledger of a leader's term and makes its entries durable; packages drain and rebalance
// compare the ledger's counts with the budgets. The package is a state machine without I/O and without a clock; it
// never decides whether a task may be disrupted. A Ledger isn't safe for concurrent use.
package disruption

import (
	"cmp"
	"slices"
	"strconv"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Task identifies a task by its job's identifier and its index in the job.
type Task struct {
	Job   wire.JobID
	Index int
}

// String returns the task in the form that operators see: JOB/INDEX.
func (t Task) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// Cause is the reason why a running attempt was stopped or lost. Its values are part of the durable records.
type Cause string

// The causes of disruptions.
const (
	Drain      Cause = "drain"      // evicted from a machine that is being drained
	Reclaimed  Cause = "reclaimed"  // its spot machine is being reclaimed by the cloud
	Preemption Cause = "preemption" // preempted by a task of higher priority
	Lost       Cause = "lost"       // lost with its machine, or with the incarnation of the machine's agent
	Gang       Cause = "gang"       // another task of its gang was disrupted
	Rebalance  Cause = "rebalance"  // moved to a machine with a lower load
)

// Disruption describes a task whose running attempt was stopped or lost and whose successor isn't running yet.
type Disruption struct {
	Task    Task
	Team    wire.TeamName
	Attempt wire.AttemptID // the attempt that was stopped or lost
	Cause   Cause
	Since   micros.Timestamp
}

// Ledger holds the open disruptions. A nil *Ledger is valid: it records nothing and counts nothing.
type Ledger struct {
	open   map[Task]Disruption
	byTeam map[wire.TeamName]int
	byJob  map[wire.JobID]map[int]bool
}

// NewLedger returns a ledger without disruptions.
func NewLedger() *Ledger {
	return &Ledger{open: map[Task]Disruption{}, byTeam: map[wire.TeamName]int{}, byJob: map[wire.JobID]map[int]bool{}}
}

// Begin opens a disruption and reports whether it did. It does nothing if the task is already disrupted: further
// stops and losses of the task before it runs again are part of the same disruption.
func (l *Ledger) Begin(disruption Disruption) bool {
	if l == nil {
		return false
	}
	task := disruption.Task
	if _, open := l.open[task]; open {
		return false
	}
	l.open[task] = disruption
	l.byTeam[disruption.Team]++
	if l.byJob[task.Job] == nil {
		l.byJob[task.Job] = map[int]bool{}
	}
	l.byJob[task.Job][task.Index] = true
	return true
}

// End closes the disruption of a task and returns it; ok is false if the task isn't disrupted.
func (l *Ledger) End(task Task) (ended Disruption, ok bool) {
	ended, ok = l.Get(task)
	if !ok {
		return ended, false
	}
	delete(l.open, task)
	l.byTeam[ended.Team]--
	delete(l.byJob[task.Job], task.Index)
	if len(l.byJob[task.Job]) == 0 {
		delete(l.byJob, task.Job)
	}
	return ended, true
}

// EndJob closes all disruptions of a job that has ended.
func (l *Ledger) EndJob(job wire.JobID) {
	for _, index := range l.TasksOfJob(job) {
		l.End(Task{job, index})
	}
}

// Get returns the disruption of a task; ok is false if it isn't disrupted.
func (l *Ledger) Get(task Task) (disruption Disruption, ok bool) {
	if l == nil {
		return Disruption{}, false
	}
	disruption, ok = l.open[task]
	return disruption, ok
}

// TasksOfJob returns the indices of a job's disrupted tasks in ascending order.
func (l *Ledger) TasksOfJob(job wire.JobID) []int {
	if l == nil {
		return nil
	}
	indices := make([]int, 0, len(l.byJob[job]))
	for index := range l.byJob[job] {
		indices = append(indices, index)
	}
	slices.Sort(indices)
	return indices
}

// CountForTeam returns how many of a team's tasks are disrupted.
func (l *Ledger) CountForTeam(team wire.TeamName) int {
	if l == nil {
		return 0
	}
	return l.byTeam[team]
}

// All returns the open disruptions, oldest first.
func (l *Ledger) All() []Disruption {
	if l == nil {
		return nil
	}
	all := make([]Disruption, 0, len(l.open))
	for _, disruption := range l.open {
		all = append(all, disruption)
	}
	slices.SortFunc(all, func(a, b Disruption) int {
		return cmp.Or(
			cmp.Compare(a.Since, b.Since),
			cmp.Compare(a.Task.Job, b.Task.Job),
			cmp.Compare(a.Task.Index, b.Task.Index),
		)
	})
	return all
}
