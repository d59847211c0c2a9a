package scale

import (
	"fmt"
	"testing"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/rebalance"
	"saffronbend/wire"
)

// rebalancingRun is the rebalancing of a cluster, and the disruptions that its moves cause.
type rebalancingRun struct {
	*disruptionStats
	cluster          *cluster
	planner          *rebalance.Planner
	budget           int // tasks that may be disrupted at the same time
	lastRound        micros.Timestamp
	moves            int
	maxMovesPerRound int
	movedTwice       bool
	moved            map[disruption.Task]bool
}

func (r *rebalancingRun) round() {
	const roundInterval = 2 * micros.Second
	r.observe(r.cluster)
	if r.cluster.now.Sub(r.lastRound) < roundInterval {
		return
	}
	r.lastRound = r.cluster.now
	remaining := map[wire.TeamName]int{"red": r.budget - r.cluster.manager.TeamUsage(r.cluster.now)["red"].Disrupted}
	observed, executor :=
		r.cluster.manager.RebalanceSnapshot(r.cluster.now, remaining), r.cluster.manager.MoveExecutor(r.cluster.now)
	moves := r.planner.Plan(observed, executor, func() bool { return false })
	for _, m := range moves {
		r.movedTwice = r.movedTwice || r.moved[m.Task]
		r.moved[m.Task] = true
	}
	r.moves += len(moves)
	r.maxMovesPerRound = max(r.maxMovesPerRound, len(moves))
}

// maxTasksOnMachine returns the number of tasks on the machine that runs the most.
func (c *cluster) maxTasksOnMachine() int {
	highest := 0
	for _, w := range c.workers {
		highest = max(highest, len(w.running))
	}
	return highest
}

// rebalanceHalfLoaded fills half of the machines with tasks and rebalances the fleet. It returns how long it takes
// until the tasks are spread over all machines.
func rebalanceHalfLoaded(tb testing.TB, machines, budget int) (elapsed micros.Duration, run *rebalancingRun) {
	tb.Helper()
	const tasksPerMachine = 8
	c := newCluster(tb, machines)
	run = &rebalancingRun{disruptionStats: newDisruptionStats(), cluster: c, budget: budget,
		moved: map[disruption.Task]bool{}}
	c.disruptions = run.disruptionStats
	c.startLoad(machines / 2 * tasksPerMachine)
	if c.maxTasksOnMachine() != tasksPerMachine {
		tb.Fatalf("tasks are not packed onto half of the machines: at most %d tasks on a machine", c.maxTasksOnMachine())
	}
	c.manager.MachinesListed(c.now, nil)
	run.planner = rebalance.New(c.now.Add(-micros.Minute), rebalance.Config{
		TeamCap: 0.5, Margin: 3, MinImbalanceReduction: 0.25, TaskCooldown: micros.Minute,
		MovesPerMinute: 100000, SmoothingTime: 10 * micros.Second, RestartTime: 2 * heartbeatInterval,
	})
	c.planRound = run.round
	start := c.now
	const targetTasks = 5 // tasks per machine at which no move reaches MinImbalanceReduction
	c.runUntil(60*micros.Minute, "tasks spread over all machines", func() bool {
		return c.maxTasksOnMachine() <= targetTasks && len(run.stoppedAt) == 0
	})
	return c.now.Sub(start), run
}

// Tasks that fill half of a fleet are spread over all machines. The moves never exceed the disruption budget, and no
// task is moved twice.
func TestRebalancingStaysWithinBudget(t *testing.T) {
	const budget = 10
	elapsed, run := rebalanceHalfLoaded(t, 100, budget)
	t.Logf("%.1f s, %d moves", elapsed.Seconds(), run.moves)
	if run.maxConcurrent > budget || run.movedTwice {
		t.Errorf("%d tasks were disrupted at the same time; a task was moved twice: %v", run.maxConcurrent, run.movedTwice)
	}
}

// BenchmarkRebalancing measures how long it takes in simulated time to spread tasks that fill half of a fleet over all
// machines.
func BenchmarkRebalancing(b *testing.B) {
	for _, machines := range []int{500, 1000, 2000, 4000} {
		for _, percent := range []int{1, 5} {
			b.Run(fmt.Sprintf("machines=%d/budget=%d%%", machines, percent), func(b *testing.B) {
				for b.Loop() {
					elapsed, run := rebalanceHalfLoaded(b, machines, machines*4*percent/100)
					b.ReportMetric(elapsed.Seconds(), "spread-s")
					b.ReportMetric(float64(run.moves), "moves")
					b.ReportMetric(float64(run.maxMovesPerRound), "moves-in-a-round")
					b.ReportMetric(float64(run.maxConcurrent), "at-once")
					b.ReportMetric(float64(run.durations.ValueAtQuantile(99)), "p99-ms")
				}
			})
		}
	}
}
