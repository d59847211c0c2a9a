// Package loopback holds the scenarios that run over real connections on the loopback interface, in real time.
package loopback

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"saffronbend/internal/fake"
	"saffronbend/internal/scenario"
	"saffronbend/internal/worklog"
	"saffronbend/wire"
)

// Parameters of the scenario rebalancing-burst.
const (
	burstMachines = 24
	// bounceTime is the shortest time allowed between two moves of a task: the task cooldown in the scenario's options,
	// 6 s, less 2 s by which the first of two commands may have been late.
	bounceTime     = 6*time.Second - 2*time.Second
	sampleInterval = 500 * time.Millisecond
)

// readBurst reads the scenario rebalancing-burst, on request with rebalancing disabled in its options.
func readBurst(t *testing.T, disabled bool) *scenario.Scenario {
	t.Helper()
	data, err := os.ReadFile("testdata/rebalancing-burst.txtar")
	if err != nil {
		t.Fatal(err)
	}
	if disabled {
		data = bytes.ReplaceAll(data, []byte("spread { enabled: true"), []byte("spread { enabled: false"))
	}
	s, err := scenario.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against tasks that are not moved, or moved back and forth, while the load changes. TestBurstOnLoopback runs
// the scenario over real connections and logs the load of each machine over time, by team. The scenario runner checks
// the workers' logs against the disruption budgets.
func TestBurstOnLoopback(t *testing.T) {
	var logs bytes.Buffer
	events, err := readBurst(t, false).RunOn(t.Context(), newLoopback(t), &logs)
	if err != nil {
		t.Log(logs.String())
		t.Fatal(err)
	}
	logLoads(t, events)
	summary := worklog.SummarizeRebalancing(events, burstMachines, sampleInterval, bounceTime)
	t.Logf("%+v", summary)
	logWaits(t, events)
	if summary.Moves == 0 || summary.RepeatedMoves > 0 {
		t.Errorf("%d moves, %d of them of tasks that had been moved within the cooldown",
			summary.Moves, summary.RepeatedMoves)
	}
}

// newLoopback returns a network with real connections.
func newLoopback(t *testing.T) *fake.Network {
	t.Helper()
	network, err := fake.NewLoopback()
	if err != nil {
		t.Fatal(err)
	}
	return network
}

// logWaits logs how long each team's tasks waited.
func logWaits(t *testing.T, events []worklog.Event) {
	t.Helper()
	for team, waits := range worklog.WaitTimes(events) {
		t.Logf("%s: %d tasks waited %s", team, waits.TotalCount(), quantiles(waits))
	}
}

// quantiles formats the quantiles of times in milliseconds.
func quantiles(times *hdrhistogram.Histogram) string {
	p50, p90 := times.ValueAtQuantile(50), times.ValueAtQuantile(90)
	return fmt.Sprintf("p50 %d ms, p90 %d ms, at most %d ms", p50, p90, times.Max())
}

// logLoads logs a line for each second with a column for each machine: the tasks of teams red and blue on it.
func logLoads(t *testing.T, events []worklog.Event) {
	t.Helper()
	samples := worklog.SampleLoad(events, time.Second)
	machines := map[wire.MachineID]bool{}
	for _, e := range events {
		machines[e.Machine] = true
	}
	var names []string
	for name := range machines {
		names = append(names, string(name))
	}
	slices.Sort(names)
	t.Log("tasks of red+blue on ", strings.Join(names, " "))
	for i, s := range samples {
		var line strings.Builder
		for _, name := range names {
			fmt.Fprintf(&line, " %d+%d", s.Tasks[wire.MachineID(name)]["red"], s.Tasks[wire.MachineID(name)]["blue"])
		}
		t.Logf("%3d s:%s", i, line.String())
	}
}

// Guards against moves that don't reduce the imbalance, or that move a task again within the cooldown.
// TestBurstWithAndWithoutRebalancing runs the burst with rebalancing enabled and disabled, on the simulated network.
func TestBurstWithAndWithoutRebalancing(t *testing.T) {
	const repeats = 3
	var imbalance [2]float64
	for n := range repeats {
		for i, disabled := range []bool{false, true} {
			var events []worklog.Event
			var err error
			var logs bytes.Buffer
			variant := readBurst(t, disabled)
			scenario.InBubble(t, func(t *testing.T) {
				t.Helper()
				events, err = variant.RunOn(t.Context(), fake.NewNetwork(), &logs)
			})
			if err != nil {
				t.Log(logs.String())
				t.Fatal(err)
			}
			summary := worklog.SummarizeRebalancing(events, burstMachines, sampleInterval, bounceTime)
			t.Logf("repeat %d, rebalancing disabled: %v: %+v", n, disabled, summary)
			logWaits(t, events)
			imbalance[i] += summary.Imbalance / repeats
			if disabled && summary.Moves > 0 || summary.RepeatedMoves > 0 {
				t.Errorf("%d moves, %d of them of tasks that had been moved within the cooldown",
					summary.Moves, summary.RepeatedMoves)
			}
		}
	}
	const maxRatio = 0.9
	if imbalance[0] > maxRatio*imbalance[1] {
		t.Errorf("imbalance %.2f with rebalancing, %.2f without; want at most %.1f times as much",
			imbalance[0], imbalance[1], maxRatio)
	}
}
