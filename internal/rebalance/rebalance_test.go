package rebalance

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
)

var policy = Config{TeamCap: 0.5, Margin: 2, MinRelief: 0.2, TaskCooldown: 60 * micros.Second, TeamCooldown: 5 * micros.Second,
	MachineCooldown: 30 * micros.Second, MovesPerMinute: 10, Smoothing: 10 * micros.Second, RestartTime: 4 * micros.Second}

const start = micros.Timestamp(1000 * 1000 * 1000)

// fleet is a model of machines that carries moves out at once.
type fleet struct {
	machines []Machine
	budget   int // of each team, in a round
	waiting  map[string]int
	moves    []Move
	refuse   MoveOutcome
}

// newFleet makes machines of four CPUs with the given tasks of one CPU each, by team.
func newFleet(machines ...string) *fleet {
	f := &fleet{budget: 1000, waiting: map[string]int{}}
	for i, tasks := range machines {
		m := Machine{ID: fmt.Sprintf("m%03d", i), Capacity: resources.Vector{CPUs: 4, MemoryGB: 16}, Free: resources.Vector{CPUs: 4, MemoryGB: 16},
			Heartbeating: true, Usable: true, FetchGBPS: 0.5, Images: map[string]bool{}}
		for n, team := range tasks {
			need := resources.Vector{CPUs: 1, MemoryGB: 1}
			m.Free = m.Free.AddTasks(need, -1)
			m.Attempts = append(m.Attempts, Attempt{Task: disruption.Task{Job: fmt.Sprintf("%c%d", team, i), Index: n}, Team: string(team), Resources: need,
				Running: true, Checkpoints: true, CheckpointTime: micros.Second, ExpectedEnd: start.Add(2000 * micros.Second), Image: "img", ImageGB: 1})
		}
		f.machines = append(f.machines, m)
	}
	return f
}

func (f *fleet) snapshot(now micros.Timestamp) Snapshot {
	s := Snapshot{Now: now, Machines: f.machines, Teams: map[string]Team{}, MachinesListed: true}
	for _, team := range []string{"r", "b"} {
		s.Teams[team] = Team{RemainingBudget: f.budget, Waiting: f.waiting[team]}
	}
	return s
}

func (f *fleet) machine(id string) *Machine {
	for i := range f.machines {
		if f.machines[i].ID == id {
			return &f.machines[i]
		}
	}
	return nil
}

func (f *fleet) MayHost(disruption.Task, string) bool { return true }

func (f *fleet) Move(disruption.Task, string) MoveOutcome { return f.refuse }

// round has the planner decide, and carries the moves out.
func (f *fleet) round(p *Planner, now micros.Timestamp) []Move {
	moves := p.Plan(f.snapshot(now), f, func() bool { return false })
	for _, m := range moves {
		f.carryOut(m)
	}
	f.moves = append(f.moves, moves...)
	return moves
}

func (f *fleet) carryOut(move Move) {
	from, to := f.machine(move.From), f.machine(move.To)
	for i, a := range from.Attempts {
		if a.Task == move.Task {
			from.Attempts = append(from.Attempts[:i:i], from.Attempts[i+1:]...)
			from.Free, to.Free = from.Free.AddTasks(a.Resources, 1), to.Free.AddTasks(a.Resources, -1)
			to.Attempts = append(to.Attempts[:len(to.Attempts):len(to.Attempts)], a)
			return
		}
	}
	panic("no such task: " + move.Task.String())
}

// ready makes a planner that has known the fleet for as long as its cooldowns last, and the time.
func (f *fleet) ready(cfg Config) (*Planner, micros.Timestamp) {
	p := New(start.Add(-cfg.TaskCooldown), cfg)
	return p, start
}

// loads gives the machines' loads.
func (f *fleet) loads() []float64 {
	var out []float64
	for i := range f.machines {
		out = append(out, f.machines[i].Capacity.AddTasks(f.machines[i].Free, -1).DominantShare(f.machines[i].Capacity))
	}
	return out
}

func TestWorkIsSpread(t *testing.T) {
	f := newFleet("rrrr", "rrrr", "", "")
	p, now := f.ready(policy)
	for range 200 {
		f.round(p, now)
		now = now.Add(2 * micros.Second)
	}
	for i, load := range f.loads() {
		if load != 0.5 {
			t.Errorf("machine %d has load %v", i, load)
		}
	}
	if len(f.moves) != 4 {
		t.Errorf("%d moves: %v", len(f.moves), f.moves)
	}
}

// Each guard keeps a task where it is, for the reason that operators are told.
func TestGuards(t *testing.T) {
	for _, c := range []struct {
		name, reason string
		change       func(f *fleet, cfg *Config)
	}{
		{"none", "", func(*fleet, *Config) {}},
		{"gang", "one of a gang", func(f *fleet, _ *Config) { f.each(func(a *Attempt) { a.Gang = true }) }},
		{"can't save", "can't save", func(f *fleet, _ *Config) { f.each(func(a *Attempt) { a.Checkpoints = false }) }},
		{"fetching", "does not run yet", func(f *fleet, _ *Config) { f.each(func(a *Attempt) { a.Running = false }) }},
		{"busy", "being stopped", func(f *fleet, _ *Config) { f.each(func(a *Attempt) { a.Stopping = true }) }},
		{"nearly done", "nearly done", func(f *fleet, _ *Config) {
			f.each(func(a *Attempt) { a.ExpectedEnd = start.Add(nearlyDone - micros.Second) })
		}},
		{"price", "less than 2 times the price", func(f *fleet, _ *Config) {
			f.each(func(a *Attempt) { a.ExpectedEnd = start.Add(20 * micros.Second) })
		}},
		{"budget", "budget is used up", func(f *fleet, _ *Config) { f.budget = 0 }},
		{"relief", "is too small", func(_ *fleet, cfg *Config) { cfg.MinRelief = 0.9 }},
		{"no machine", "no machine with less load", func(f *fleet, _ *Config) { f.machines[1].Usable = false }},
		{"silent", "no machine with less load", func(f *fleet, _ *Config) { f.machines[1].Heartbeating = false }},
		{"cordoned", "no machine with less load", func(f *fleet, _ *Config) { f.machines[1].Cordoned = true }},
		{"cordoned source", "", func(f *fleet, _ *Config) { f.machines[0].Cordoned = true }},
		{"room", "no room any more", func(f *fleet, _ *Config) { f.refuse = NoCapacity }},
		{"minute", "moves per minute", func(_ *fleet, cfg *Config) { cfg.MovesPerMinute = 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, cfg := newFleet("rrrr", ""), policy
			c.change(f, &cfg)
			p, now := f.ready(cfg)
			moves := f.round(p, now)
			most := 0
			switch c.name {
			case "none":
				most = 2
			case "minute":
				most = 1
			}
			if len(moves) != most {
				t.Errorf("%d moves, want %d", len(moves), most)
			}
			if c.reason != "" && !held(p, c.reason) {
				t.Errorf("%q is not among the reasons %v", c.reason, p.held)
			}
		})
	}
}

func (f *fleet) each(change func(a *Attempt)) {
	for i := range f.machines {
		for n := range f.machines[i].Attempts {
			change(&f.machines[i].Attempts[n])
		}
	}
}

func held(p *Planner, reason string) bool {
	for _, h := range p.Status(start, 10).HeldTasks {
		if strings.Contains(h.Reason, reason) {
			return true
		}
	}
	return false
}

// A planner that can't know enough moves nothing, and says what it waits for.
func TestObstacles(t *testing.T) {
	for _, c := range []struct {
		name, waits string
		change      func(p *Planner, s *Snapshot)
	}{
		{"paused", "paused", func(p *Planner, _ *Snapshot) { p.SetPaused(true) }},
		{"unheard", "3 machines have not reported", func(_ *Planner, s *Snapshot) { s.UnreportedMachines = 3 }},
		{"unlisted", "has not listed", func(_ *Planner, s *Snapshot) { s.MachinesListed = false }},
		{"new leader", "cools down for 1 s", func(_ *Planner, s *Snapshot) { s.Now = s.Now.Add(-micros.Second) }},
	} {
		f := newFleet("rrrr", "")
		p, now := f.ready(policy)
		s := f.snapshot(now)
		c.change(p, &s)
		if moves := p.Plan(s, f, func() bool { return false }); len(moves) > 0 || !strings.Contains(p.Status(now, 1).IdleReason, c.waits) {
			t.Errorf("%s: %d moves, waits for %q", c.name, len(moves), p.Status(now, 1).IdleReason)
		}
	}
}

// Load that has just come is not acted on before it has lasted.
func TestBriefLoadMovesNothing(t *testing.T) {
	f := newFleet("rrrr", "")
	p, now := f.ready(policy)
	burst := f.machines[0].Attempts
	f.machines[0].Attempts = nil
	f.round(p, now)
	f.machines[0].Attempts = burst
	now = now.Add(micros.Second)
	if moves := f.round(p, now); len(moves) > 0 {
		t.Errorf("moved after a second: %v", moves)
	}
	now = now.Add(30 * micros.Second)
	if moves := f.round(p, now); len(moves) == 0 {
		t.Errorf("not moved after 30 s: %v", p.held)
	}
}

// While others wait, the team that holds more than its cap is relieved, although the machines' loads are nearly even.
func TestCapCountsWhileOthersWait(t *testing.T) {
	for _, waiting := range []bool{false, true} {
		f := newFleet("rrrr", "bbb")
		if waiting {
			f.waiting["b"] = 2
		}
		p, now := f.ready(policy)
		if moves := f.round(p, now); (len(moves) > 0) != waiting {
			t.Errorf("others wait: %v, moves: %v, held: %v", waiting, moves, p.held)
		}
	}
}

// sumOfSquares is what every move must reduce while no team competes.
func sumOfSquares(loads []float64) float64 {
	sum := 0.0
	for _, l := range loads {
		sum += l * l
	}
	return sum
}

// Whatever the work, cooldowns and budgets: every move reduces the imbalance, gains more than it costs, and none breaks a limit;
// no task is lost or doubled; and once the work stays the same, moves come to an end.
func TestMovesProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := rapid.StringMatching(`[rb]{0,4}`)
		f := newFleet(rapid.SliceOfN(machine, 2, 8).Draw(t, "machines")...)
		f.budget = rapid.IntRange(0, 3).Draw(t, "budget")
		cfg := policy
		cfg.MovesPerMinute = rapid.IntRange(1, 5).Draw(t, "moves per minute")
		cfg.MinRelief = rapid.Float64Range(0.01, 0.5).Draw(t, "least relief")
		p, now := f.ready(cfg)
		tasks := f.tasks()
		var all []Move
		for range 150 {
			before := sumOfSquares(f.loads())
			moves := f.round(p, now)
			checkRound(t, f, cfg, moves)
			if after := sumOfSquares(f.loads()); len(moves) > 0 && after >= before {
				t.Fatalf("the imbalance goes from %v to %v by %v", before, after, moves)
			}
			all = append(all, moves...)
			checkCooldowns(t, cfg, all)
			now = now.Add(2 * micros.Second)
		}
		if got := f.tasks(); got != tasks {
			t.Fatalf("%d tasks have become %d", tasks, got)
		}
	})
}

func (f *fleet) tasks() int {
	n := 0
	for i := range f.machines {
		n += len(f.machines[i].Attempts)
	}
	return n
}

// checkRound holds a round's moves against budgets, prices and room.
func checkRound(t *rapid.T, f *fleet, cfg Config, moves []Move) {
	byTeam := map[string]int{}
	for _, m := range moves {
		byTeam[m.Team]++
		if byTeam[m.Team] > f.budget {
			t.Fatalf("the budget of %d is broken: %v", f.budget, moves)
		}
		if m.Gain <= m.Cost.Scale(cfg.Margin) || m.Relief < cfg.MinRelief {
			t.Fatalf("not worth its price: %+v", m)
		}
	}
	for i := range f.machines {
		if !f.machines[i].Free.Fits(resources.Vector{}) {
			t.Fatalf("machine %s is overfull: %+v", f.machines[i].ID, f.machines[i].Free)
		}
	}
}

// checkCooldowns holds all moves against the cooldowns and the budget of moves.
func checkCooldowns(t *rapid.T, cfg Config, moves []Move) {
	if len(moves) == 0 {
		return
	}
	last := moves[len(moves)-1]
	inMinute := 0
	for _, m := range moves[:len(moves)-1] {
		since := last.At.Sub(m.At)
		switch {
		case since < cfg.TaskCooldown && m.Task == last.Task:
			t.Fatalf("%s is moved again after %v s", m.Task, since.Seconds())
		case since < cfg.MachineCooldown && (m.From == last.To || m.To == last.From):
			t.Fatalf("a machine changes its role after %v s: %+v, %+v", since.Seconds(), m, last)
		case since > 0 && since < cfg.TeamCooldown && m.Team == last.Team:
			t.Fatalf("team %s is moved again after %v s", m.Team, since.Seconds())
		}
		if since < micros.Minute {
			inMinute++
		}
	}
	if inMinute >= cfg.MovesPerMinute {
		t.Fatalf("%d moves in a minute", inMinute+1)
	}
}

// A silent machine is shown with no load at all, neither its last one nor none.
func TestSilenceIsNoLoad(t *testing.T) {
	f := newFleet("rrrr", "rr")
	f.machines[0].Heartbeating = false
	p, now := f.ready(policy)
	f.round(p, now)
	if st := p.Status(now, 10); st.KnownMachines != 1 || len(st.Machines) != 1 || st.Machines[0].ID != f.machines[1].ID {
		t.Errorf("%d known, %v", st.KnownMachines, st.Machines)
	}
}

// Within the machines' cooldown a destination is no source, though the picture has turned over: work would go back and forth.
func TestDestinationIsNoSourceWithinTheCooldown(t *testing.T) {
	f := newFleet("rrrr", "")
	p, now := f.ready(policy)
	if moves := f.round(p, now); len(moves) == 0 {
		t.Fatal("nothing is moved at first")
	}
	turned := newFleet("", "bbbb")
	f.machines = turned.machines
	for now = now.Add(2 * micros.Second); now.Sub(start) < policy.MachineCooldown; now = now.Add(2 * micros.Second) {
		if moves := f.round(p, now); len(moves) > 0 {
			t.Fatalf("moved back after %v s: %v", now.Sub(start).Seconds(), moves)
		}
	}
	if moves := f.round(p, now); len(moves) == 0 {
		t.Errorf("not moved after the cooldown: %v", p.held)
	}
}
