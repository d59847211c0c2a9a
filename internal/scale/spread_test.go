package scale

import (
	"fmt"
	"testing"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/rebalance"
	"saffronbend/wire"
)

// spreadRun are moves in a cluster, and what the workers show of them.
type spreadRun struct {
	*disturbances
	c        *cluster
	planner  *rebalance.Planner
	budget   int // tasks that may be disturbed at once
	decided  micros.Timestamp
	moves    int
	longest  int // moves of one round
	movedTwo bool
	moved    map[disruption.Task]bool
}

func (s *spreadRun) round() {
	const every = 2 * micros.Second
	s.observe(s.c)
	if s.c.now.Sub(s.decided) < every {
		return
	}
	s.decided = s.c.now
	remaining := map[wire.TeamName]int{"red": s.budget - s.c.manager.TeamUsage(s.c.now)["red"].Disrupted}
	observed, executor := s.c.manager.RebalanceSnapshot(s.c.now, remaining), s.c.manager.MoveExecutor(s.c.now)
	moves := s.planner.Plan(observed, executor, func() bool { return false })
	for _, m := range moves {
		s.movedTwo = s.movedTwo || s.moved[m.Task]
		s.moved[m.Task] = true
	}
	s.moves += len(moves)
	s.longest = max(s.longest, len(moves))
}

// greatest is the number of tasks on the machine with the most.
func (c *cluster) greatest() int {
	most := 0
	for _, w := range c.workers {
		most = max(most, len(w.running))
	}
	return most
}

// spreadHalf has half the machines full, and returns the time until the work is spread over all of them.
func spreadHalf(tb testing.TB, machines, budget int) (took micros.Duration, s *spreadRun) {
	tb.Helper()
	const cpus = 8
	c := newCluster(tb, machines)
	s = &spreadRun{disturbances: newDisturbances(), c: c, budget: budget, moved: map[disruption.Task]bool{}}
	c.disturbed = s.disturbances
	c.load(machines / 2 * cpus)
	if c.greatest() != cpus {
		tb.Fatalf("the load is not packed: at most %d tasks on a machine", c.greatest())
	}
	c.manager.MachinesListed(c.now, nil)
	s.planner = rebalance.New(c.now.Add(-micros.Minute), rebalance.Config{
		TeamCap: 0.5, Margin: 3, MinImbalanceReduction: 0.25, TaskCooldown: micros.Minute,
		MovesPerMinute: 100000, SmoothingTime: 10 * micros.Second, RestartTime: 2 * reportEvery,
	})
	c.decide = s.round
	begin := c.now
	const spread = 5 // tasks on a machine when no move gains a quarter of one
	c.until(60*micros.Minute, "the work is spread", func() bool { return c.greatest() <= spread && len(s.stopped) == 0 })
	return c.now.Sub(begin), s
}

// Work that fills half of a fleet is spread over all of it, within the budget, each task moved once at most.
func TestSpreadKeepsToItsBudget(t *testing.T) {
	const budget = 10
	took, s := spreadHalf(t, 100, budget)
	t.Logf("%.1f s, %d moves", took.Seconds(), s.moves)
	if s.most > budget || s.movedTwo {
		t.Errorf("%d tasks were disturbed at once; some was moved twice: %v", s.most, s.movedTwo)
	}
}

// BenchmarkSpread measures how long it takes to spread work that fills half of a fleet, in simulated time.
func BenchmarkSpread(b *testing.B) {
	for _, machines := range []int{500, 1000, 2000, 4000} {
		for _, percent := range []int{1, 5} {
			b.Run(fmt.Sprintf("machines=%d/budget=%d%%", machines, percent), func(b *testing.B) {
				for b.Loop() {
					took, s := spreadHalf(b, machines, machines*4*percent/100)
					b.ReportMetric(took.Seconds(), "spread-s")
					b.ReportMetric(float64(s.moves), "moves")
					b.ReportMetric(float64(s.longest), "moves-in-a-round")
					b.ReportMetric(float64(s.most), "at-once")
					b.ReportMetric(float64(s.lasted.ValueAtQuantile(99)), "p99-ms")
				}
			})
		}
	}
}
