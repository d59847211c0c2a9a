package drain

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
)

func budget(t testing.TB, text string) disruption.Budget {
	t.Helper()
	b, err := disruption.ParseBudget(text)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func newPlanner(t testing.TB, limit string) *Planner {
	return New(Config{Teams: []string{"red", "blue"}, DefaultBudget: budget(t, limit), StepSize: 2})
}

var knownMachines = []KnownMachine{{"n-1", "a", "small", micros.Minute}, {"n-2", "a", "large", micros.Second}, {"n-3", "b", "small", micros.Minute}}

// begin makes a drain durable, as far as the planner can tell.
func begin(t testing.TB, p *Planner, r Request, known []KnownMachine) {
	t.Helper()
	plan, err := p.Prepare(r, 0, known)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Apply(plan.Record, plan.Machines, 1); err != nil {
		t.Fatal(err)
	}
}

// What an operator asks for is checked before anything changes, and asking twice is asking once.
func TestRequests(t *testing.T) {
	p := newPlanner(t, "1")
	for _, c := range []struct {
		req  Request
		want []string
		err  error
	}{
		{Request{Name: "x", Zone: "a"}, []string{"n-1", "n-2"}, nil},
		{Request{Name: "x", Type: "small"}, []string{"n-1", "n-3"}, nil},
		{Request{Name: "x", Type: "small", Zone: "b"}, []string{"n-3"}, nil},
		{Request{Name: "x", OlderThan: 2 * micros.Second}, []string{"n-1", "n-3"}, nil},
		{Request{Name: "x", Machines: []string{"n-2", "n-1"}}, []string{"n-1", "n-2"}, nil},
		{Request{Name: "x", Machines: []string{"n-2", "n-9"}}, nil, ErrUnknownMachine},
		{Request{Name: "x", Zone: "c"}, nil, ErrNoMatch},
		{Request{Name: "x"}, nil, ErrNoSelection},
		{Request{Name: "", Zone: "a"}, nil, ErrInvalidName},
		{Request{Name: "a/b", Zone: "a"}, nil, ErrInvalidName},
		{Request{Name: "x", Zone: "a", Deadline: -1}, nil, ErrNegativeDuration},
		{Request{Name: "x", Zone: "a", OlderThan: -1}, nil, ErrNegativeDuration},
		{Request{Name: "x", Zone: "a", Budgets: map[string]string{"green": "1"}}, nil, ErrUnknownTeam},
		{Request{Name: "x", Zone: "a", Budgets: map[string]string{"red": "-1"}}, nil, disruption.ErrInvalidBudget},
	} {
		plan, err := p.Prepare(c.req, 0, knownMachines)
		if !errors.Is(err, c.err) || !slices.Equal(plan.Machines, c.want) {
			t.Errorf("%+v: %v, %v", c.req, plan.Machines, err)
		}
	}
	begin(t, p, Request{Name: "x", Zone: "a"}, knownMachines)
	if plan, err := p.Prepare(Request{Name: "x", Zone: "a"}, 5, knownMachines[:1]); err != nil || !plan.Exists {
		t.Errorf("the same again: %+v, %v", plan, err)
	}
	if _, err := p.Prepare(Request{Name: "x", Zone: "b"}, 0, knownMachines); !errors.Is(err, ErrNameInUse) {
		t.Errorf("another of the same name: %v", err)
	}
	if _, err := p.ChangeState("y", Paused); !errors.Is(err, ErrUnknownDrain) {
		t.Errorf("pause of an unknown one: %v", err)
	}
}

// Cordons last while a drain runs or pauses, and as long as any of two does.
func TestCordons(t *testing.T) {
	p := newPlanner(t, "1")
	begin(t, p, Request{Name: "x", Zone: "a"}, knownMachines)
	begin(t, p, Request{Name: "y", Type: "small"}, knownMachines)
	change := func(name string, to State, wantChange bool, wantErr error) {
		t.Helper()
		c, err := p.ChangeState(name, to)
		changed := err == nil && !c.Unchanged
		if changed != wantChange || !errors.Is(err, wantErr) {
			t.Fatalf("%s %s: %v, %v", name, to, changed, err)
		}
		if changed {
			if err := p.Apply(c.Record, nil, c.Version+1); err != nil {
				t.Fatal(err)
			}
		}
	}
	change("x", Paused, true, nil)
	change("x", Paused, false, nil)
	if len(p.Cordons()) != 3 {
		t.Errorf("cordons %v", p.Cordons())
	}
	change("x", Cancelled, true, nil)
	change("x", Running, false, ErrDrainEnded)
	if c := p.Cordons(); len(c) != 2 || !c["n-1"] || !c["n-3"] {
		t.Errorf("cordons %v", c)
	}
	change("y", Cancelled, true, nil)
	if p.Active() {
		t.Errorf("cordons %v", p.Cordons())
	}
}

// A zone or a type is vacated as a whole, named or old machines are not.
func TestVacated(t *testing.T) {
	p := newPlanner(t, "1")
	begin(t, p, Request{Name: "zone", Zone: "a"}, knownMachines)
	begin(t, p, Request{Name: "old", Zone: "b", OlderThan: micros.Second}, knownMachines)
	begin(t, p, Request{Name: "named", Type: "small", Machines: []string{"n-3"}}, knownMachines)
	if got := p.VacatedPools(); !slices.Equal(got, []VacatedPool{{Zone: "a"}}) || !got[0].Includes("small", "a") || got[0].Includes("small", "b") {
		t.Errorf("vacated: %v", got)
	}
}

// The records of drains that are over are bounded.
func TestExpendable(t *testing.T) {
	p := newPlanner(t, "1")
	for i := range mostKept + 2 {
		if err := p.Apply(state.DrainRecord{Name: fmt.Sprint(i), State: string(Done), StartedAt: int64(i)}, nil, 1); err != nil {
			t.Fatal(err)
		}
	}
	if got := p.PrunableDrains(); !slices.Equal(got, []string{"0", "1"}) {
		t.Errorf("expendable: %v", got)
	}
}

func attempt(job string, index int, team string) Attempt {
	return Attempt{Task: disruption.Task{Job: job, Index: index}, Team: team, DisruptedTasks: 1, Checkpoints: true, ExpectedEnd: micros.Timestamp(micros.Minute)}
}

// reasons gives why the attempts of a machine stay in one round, "" for each that goes.
func reason(t *testing.T, p *Planner, m Machine, wall int64, refusal EvictionOutcome) string {
	t.Helper()
	s := Snapshot{Now: 1, WallClock: wall, Machines: map[string]Machine{m.ID: m}, Teams: map[string]TeamUsage{"red": {Running: 10}}, MachinesListed: true}
	p.Plan(s, func(disruption.Task) EvictionOutcome { return refusal }, func() bool { return false })
	st, err := p.Status("x")
	if err != nil {
		t.Fatal(err)
	}
	if len(st.Blocked) == 0 {
		return ""
	}
	return st.Blocked[0].Reason
}

func TestReasons(t *testing.T) {
	change := func(f func(*Attempt)) Attempt {
		a := attempt("run-1", 0, "red")
		f(&a)
		return a
	}
	const overdue = 1000
	for _, c := range []struct {
		name    string
		a       Attempt
		deaf    bool
		wall    int64
		evict   bool
		limit   string
		refusal EvictionOutcome
		want    string
	}{
		{name: "it goes", a: change(func(*Attempt) {}), limit: "1"},
		{name: "no budget", a: change(func(*Attempt) {}), limit: "0", want: "the budget of 0 is too small for 1 tasks"},
		{name: "gang", a: change(func(a *Attempt) { a.Gang, a.DisruptedTasks = true, 4 }), limit: "3", want: "the budget of 3 is too small for 4 tasks"},
		{name: "silent", a: change(func(*Attempt) {}), deaf: true, limit: "1", want: "the machine does not report"},
		{name: "ends", a: change(func(a *Attempt) { a.ExpectedEnd = 10 }), limit: "1", want: "it ends soon"},
		{name: "can't save", a: change(func(a *Attempt) { a.Checkpoints = false }), limit: "1", evict: true, want: "it can't save: its end is waited for"},
		{name: "can't save, overdue, to wait", a: change(func(a *Attempt) { a.Checkpoints = false }), limit: "1", wall: overdue, want: "it can't save: its end is waited for"},
		{name: "can't save, overdue, to go", a: change(func(a *Attempt) { a.Checkpoints = false }), limit: "1", wall: overdue, evict: true},
		{name: "no room", a: change(func(*Attempt) {}), limit: "1", refusal: NoCapacity, want: "no room for it elsewhere: the cloud has none"},
		{name: "stops", a: change(func(a *Attempt) { a.Stopping = true }), limit: "1", want: "it is being stopped"},
	} {
		p := newPlanner(t, c.limit)
		p.SetShortage("the cloud has none")
		begin(t, p, Request{Name: "x", Machines: []string{"n-1"}, Deadline: overdue, EvictAtDeadline: c.evict}, knownMachines)
		m := Machine{ID: "n-1", Heartbeating: !c.deaf, Attempts: []Attempt{c.a}}
		if got := reason(t, p, m, c.wall, c.refusal); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// Room is wanted for as many tasks as may move, not for all that there are.
func TestReplacementsWithinTheBudget(t *testing.T) {
	p := newPlanner(t, "3")
	begin(t, p, Request{Name: "x", Machines: []string{"n-1"}}, knownMachines)
	m := Machine{ID: "n-1", Heartbeating: true}
	for i := range 8 {
		m.Attempts = append(m.Attempts, attempt("run-1", i, "red"))
	}
	s := Snapshot{Now: 1, Machines: map[string]Machine{m.ID: m}, Teams: map[string]TeamUsage{"red": {Running: 9, Disrupted: 1}}, MachinesListed: true}
	acts := p.Plan(s, func(disruption.Task) EvictionOutcome { return NoCapacity }, func() bool { return false })
	if len(acts.NeedReplacement) != 2 || acts.Evicted != 0 {
		t.Errorf("%+v", acts)
	}
}

// fleet is a model of machines whose tasks are evicted, lost and started again elsewhere.
type fleet struct {
	machines  map[string]map[disruption.Task]string // tasks by machine, with their team
	disturbed map[disruption.Task]string
	running   map[string]int
}

func (f *fleet) snapshot(now micros.Timestamp) Snapshot {
	s := Snapshot{Now: now, Machines: map[string]Machine{}, Teams: map[string]TeamUsage{}, MachinesListed: true}
	count := map[string]int{}
	for _, team := range f.disturbed {
		count[team]++
	}
	for _, team := range []string{"red", "blue"} {
		s.Teams[team] = TeamUsage{Running: f.running[team] + count[team], Disrupted: count[team]}
	}
	for id, tasks := range f.machines {
		m := Machine{ID: id, Heartbeating: true, Empty: len(tasks) == 0}
		for task, team := range tasks {
			a := attempt(task.Job, task.Index, team)
			a.ExpectedEnd = now.Add(micros.Minute)
			m.Attempts = append(m.Attempts, a)
		}
		slices.SortFunc(m.Attempts, func(a, b Attempt) int { return a.Task.Index - b.Task.Index })
		s.Machines[id] = m
	}
	return s
}

// take takes a task off its machine; its successor runs later.
func (f *fleet) take(id string, task disruption.Task) {
	team := f.machines[id][task]
	delete(f.machines[id], task)
	f.running[team]--
	f.disturbed[task] = team
}

// For any fleet, budgets and losses: no eviction breaks a budget, no machine is returned before it is empty, and every drain
// whose budgets allow a task each comes to its end.
func TestNoBudgetIsBroken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := map[string]int{"red": rapid.IntRange(0, 4).Draw(t, "red"), "blue": rapid.IntRange(1, 4).Draw(t, "blue")}
		budgets := map[string]disruption.Budget{}
		for team, n := range limits {
			b, err := disruption.ParseBudget(fmt.Sprint(n))
			if err != nil {
				t.Fatal(err)
			}
			budgets[team] = b
		}
		p := New(Config{Teams: []string{"red", "blue"}, TeamBudgets: budgets, StepSize: rapid.IntRange(1, 5).Draw(t, "step")})
		f := &fleet{machines: map[string]map[disruption.Task]string{}, disturbed: map[disruption.Task]string{}, running: map[string]int{}}
		var known []KnownMachine
		red := 0
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			id := fmt.Sprintf("n-%02d", i)
			known = append(known, KnownMachine{ID: id, Zone: "a"})
			f.machines[id] = map[disruption.Task]string{}
			for k := range rapid.IntRange(0, 5).Draw(t, "tasks") {
				team := rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")
				f.machines[id][disruption.Task{Job: "run-1", Index: i*10 + k}] = team
				f.running[team]++
				if team == "red" {
					red++
				}
			}
		}
		plan, err := p.Prepare(Request{Name: "x", Zone: "a"}, 0, known)
		if err != nil {
			t.Fatal(err)
		}
		if err := p.Apply(plan.Record, plan.Machines, 1); err != nil {
			t.Fatal(err)
		}
		now := micros.Timestamp(0)
		for range 400 {
			now = now.Add(micros.Second)
			f.step(t, p, now, limits)
		}
		if (limits["red"] > 0 || red == 0) && (len(f.machines) > 0 || !slices.Equal(p.FinishedDrains(), []string{"x"})) {
			t.Fatalf("not done: %v", f.machines)
		}
	})
}

// step lets successors come to run, machines be lost, and the planner decide.
func (f *fleet) step(t *rapid.T, p *Planner, now micros.Timestamp, limits map[string]int) {
	for task, team := range f.disturbed {
		if rapid.IntRange(0, 2).Draw(t, "starts") == 0 {
			delete(f.disturbed, task)
			f.running[team]++
		}
	}
	if rapid.IntRange(0, 19).Draw(t, "loss") == 0 {
		for id, tasks := range f.machines {
			for task := range tasks {
				f.take(id, task)
			}
			break
		}
	}
	s := f.snapshot(now)
	acts := p.Plan(s, func(task disruption.Task) EvictionOutcome {
		for id, tasks := range f.machines {
			team, on := tasks[task]
			if !on {
				continue
			}
			f.take(id, task)
			open := 0
			for _, other := range f.disturbed {
				if other == team {
					open++
				}
			}
			if open > limits[team] {
				t.Fatalf("%d tasks of %s are disturbed", open, team)
			}
			return Evicted
		}
		t.Fatalf("%v is evicted twice", task)
		return AttemptEnded
	}, func() bool { return false })
	for _, id := range acts.ScaleIn {
		if len(f.machines[id]) > 0 {
			t.Fatalf("%s is returned with %v", id, f.machines[id])
		}
		delete(f.machines, id)
	}
}
