// Package loopback holds the scenarios that are played over real connections on the loopback interface, in real time.
package loopback

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"saffronbend/internal/fake"
	"saffronbend/internal/scenario"
	"saffronbend/internal/worklog"
	"saffronbend/wire"
)

// Figures of the burst scenario.
const (
	burstMachines = 24
	// burstBounce is the cooldown of a task in its options, less what the first of two orders may have been late by.
	burstBounce = 6*time.Second - 2*time.Second
	burstSample = 500 * time.Millisecond
)

// burst reads the scenario of a burst; off: with moves switched off.
func burst(t *testing.T, off bool) *scenario.Scenario {
	t.Helper()
	data, err := os.ReadFile("testdata/spread-burst.txtar")
	if err != nil {
		t.Fatal(err)
	}
	if off {
		data = bytes.ReplaceAll(data, []byte("spread { enabled: true"), []byte("spread { enabled: false"))
	}
	s, err := scenario.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestBurstOnLoopback plays a burst over real connections and writes the load of each machine over time, by team. The
// runner holds the workers' logs against the disruption budgets.
func TestBurstOnLoopback(t *testing.T) {
	var logs bytes.Buffer
	events, err := burst(t, false).PlayOn(t.Context(), newLoopback(t), &logs)
	if err != nil {
		t.Log(logs.String())
		t.Fatal(err)
	}
	logLoads(t, events)
	sum := worklog.SummarizeRebalancing(events, burstMachines, burstSample, burstBounce)
	t.Logf("%+v", sum)
	logWaits(t, events)
	if sum.Moves == 0 || sum.RepeatedMoves > 0 {
		t.Errorf("%d moves, %d of them of tasks that had been moved within the cooldown", sum.Moves, sum.RepeatedMoves)
	}
}

// newLoopback makes a network with real connections.
func newLoopback(t *testing.T) *fake.Network {
	t.Helper()
	network, err := fake.NewLoopback()
	if err != nil {
		t.Fatal(err)
	}
	return network
}

// logWaits writes how long each team's tasks waited.
func logWaits(t *testing.T, events []worklog.Event) {
	t.Helper()
	for team, waits := range worklog.WaitTimes(events) {
		t.Logf("%s: %d tasks waited %s", team, waits.TotalCount(), quantiles(waits))
	}
}

// quantiles returns the quantiles of times in milliseconds.
func quantiles(times *hdrhistogram.Histogram) string {
	p50, p90 := times.ValueAtQuantile(50), times.ValueAtQuantile(90)
	return fmt.Sprintf("p50 %d ms, p90 %d ms, at most %d ms", p50, p90, times.Max())
}

// logLoads writes a line for each second and a column for each machine: the tasks of red and of blue on it.
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

// TestBurstOnAndOff plays the burst with moves and without, on simulated machines. Moves reduce the imbalance, and
// don't bounce.
func TestBurstOnAndOff(t *testing.T) {
	const repeats = 3
	var imbalance [2]float64
	for n := range repeats {
		for i, off := range []bool{false, true} {
			var events []worklog.Event
			var err error
			var logs bytes.Buffer
			played := burst(t, off)
			synctest.Test(t, func(t *testing.T) {
				events, err = played.PlayOn(t.Context(), fake.NewNetwork(), &logs)
			})
			if err != nil {
				t.Log(logs.String())
				t.Fatal(err)
			}
			sum := worklog.SummarizeRebalancing(events, burstMachines, burstSample, burstBounce)
			t.Logf("repeat %d, moves off: %v: %+v", n, off, sum)
			logWaits(t, events)
			imbalance[i] += sum.Imbalance / repeats
			if off && sum.Moves > 0 || sum.RepeatedMoves > 0 {
				t.Errorf("%d moves, %d bounces", sum.Moves, sum.RepeatedMoves)
			}
		}
	}
	const least = 0.9
	if imbalance[0] > least*imbalance[1] {
		t.Errorf("imbalance %.2f with moves, %.2f without", imbalance[0], imbalance[1])
	}
}
