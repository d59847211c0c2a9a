package manager

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// sizes are the numbers of machines for which the costs are measured.
var sizes = []int{500, 1000, 2000, 4000}

// bySize runs a benchmark for each number of machines.
func bySize(b *testing.B, run func(b *testing.B, machines int)) {
	b.Helper()
	for _, machines := range sizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) { run(b, machines) })
	}
}

// largeFleet is a term with machines that run 8 tasks each; next gives the machines' unchanged reports in turn.
func largeFleet(b *testing.B, machines int) (m *Manager, now *micros.Timestamp, next func() *wire.Heartbeat) {
	b.Helper()
	const each = 8
	now = new(micros.Timestamp)
	*now = 1000
	m, err := New(*now, Config{FencingToken: token, Teams: []settings.Team{{Name: "red"}}, WorkerLease: 26 * micros.Second, HeartbeatInterval: 5 * micros.Second,
		LeaseMargin: micros.Second, CancelTimeout: 56 * micros.Second, Tuning: settings.Tuning{FirstLease: 100 * micros.Second}, MaxCommandPushes: 100,
		StoreLimits: settings.StoreLimits{TxnOps: 32, ValueKB: 8}}, 0, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	m.SetTypes([]wire.MachineType{{Name: "small", CPUs: 32, MemoryGB: 64, CacheGB: 50, Zones: []string{"a"}}})
	reports := make([]*wire.Heartbeat, machines)
	for i := range reports {
		reports[i] = &wire.Heartbeat{Machine: fmt.Sprintf("n-%06d", i), Addr: "10.1.0.1:9000", Type: "small", Zone: "a", Incarnation: 1, FencingToken: token}
	}
	i := 0
	next = func() *wire.Heartbeat {
		heartbeat := reports[i%machines]
		i++
		heartbeat.Sequence++
		return heartbeat
	}
	for range machines {
		m.Heartbeat(*now, next(), "", true)
	}
	for j := range 100 {
		id := fmt.Sprintf("run-%06d", j+1)
		rec := record(id, machines*each/100, nil)
		m.OpenRecordChanged(*now, *now, 0, rec, uint64(j+1))
		for k := range machines / 100 {
			mc := reports[j*machines/100+k]
			m.Grant(*now, lease.Transaction{Requests: []lease.Request{{Job: id, Machine: mc.Machine, Count: each, Duration: workerLease}}})
		}
	}
	for rev := uint64(1000); ; rev++ {
		batch := m.NextWrite(*now)
		if batch == nil {
			break
		}
		m.WriteCommitted(*now, batch.ID, rev)
	}
	for _, heartbeat := range reports {
		for _, attempt := range attemptsByID(m.machines[heartbeat.Machine].attempts) {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: attempt.taskName, Attempt: attempt.id, State: wire.TaskRunning})
		}
		heartbeat.Sequence++
		m.Heartbeat(*now, heartbeat, "", true)
	}
	m.Snapshot(*now)
	b.ReportAllocs()
	b.ResetTimer()
	return m, now, next
}

// BenchmarkReport is the leader's work for a report that brings no news.
func BenchmarkReport(b *testing.B) {
	bySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, next := largeFleet(b, machines)
		for b.Loop() {
			m.Heartbeat(*now, next(), "", true)
		}
	})
}

// BenchmarkRound is a quarter of a second of the leader: a twentieth of the machines report,
// and the view and a follower's update are made.
func BenchmarkRound(b *testing.B) {
	bySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, next := largeFleet(b, machines)
		for b.Loop() {
			for range machines / 20 {
				m.Heartbeat(*now, next(), "", true)
			}
			snapshot := m.Snapshot(*now)
			m.SnapshotUpdate(*now, snapshot.Version-1)
		}
	})
}

// BenchmarkListed is the leader's work for a list of the cloud that brings no news.
func BenchmarkListed(b *testing.B) {
	bySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, next := largeFleet(b, machines)
		var list []wire.Machine
		for range len(m.machines) {
			heartbeat := next()
			list = append(list, wire.Machine{ID: heartbeat.Machine, Addr: heartbeat.Addr, Type: heartbeat.Type, Zone: heartbeat.Zone, State: wire.MachineRunning})
		}
		for b.Loop() {
			m.MachinesListed(*now, list)
			m.Snapshot(*now)
		}
	})
}

// BenchmarkTick is what the leader does twice a second for the machines' leases and notices.
func BenchmarkTick(b *testing.B) {
	bySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, _ := largeFleet(b, machines)
		for b.Loop() {
			m.Tick(*now)
		}
	})
}

// BenchmarkWholeView is what a follower that has just connected costs the leader: the whole view, encoded.
func BenchmarkWholeView(b *testing.B) {
	bySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, _ := largeFleet(b, machines)
		size := 0
		for b.Loop() {
			data, err := json.Marshal(m.SnapshotUpdate(*now, 0))
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "view-bytes")
	})
}

// BenchmarkHeap reports the memory that the Resource Manager holds for a full fleet.
func BenchmarkHeap(b *testing.B) {
	bySize(b, func(b *testing.B, machines int) {
		b.Helper()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m, _, _ := largeFleet(b, machines)
		runtime.GC()
		runtime.ReadMemStats(&after)
		for b.Loop() {
			runtime.KeepAlive(m)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(machines), "heap-bytes/machine")
	})
}

// BenchmarkDirectsAllOut is what the leader's every turn costs while as many direct orders as may be are out and all
// machines have news.
func BenchmarkDirectsAllOut(b *testing.B) {
	bySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, _ := largeFleet(b, machines)
		m.pushes.inFlight = m.pushes.maxInFlight
		for id := range m.machines {
			m.pushes.candidates[id] = true
		}
		for b.Loop() {
			m.CommandPushes(*now, true)
		}
	})
}

// BenchmarkKeepRoom is what the leader does twice a second while eight jobs of large tasks have waited for long and all machines
// are full of small ones.
func BenchmarkKeepRoom(b *testing.B) {
	bySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, next := largeFleet(b, machines)
		for j := range maxReservingJobs {
			rec := record(fmt.Sprintf("run-%06d", 900+j), 100, func(spec *wire.Job) { spec.CPUs = 32 })
			m.OpenRecordChanged(*now, *now, 0, rec, uint64(5000+j))
		}
		*now = now.Add(micros.Minute)
		for range m.machines {
			m.Heartbeat(*now, next(), "", true)
		}
		b.ResetTimer()
		for b.Loop() {
			m.ReserveForWaitingJobs(*now)
			for _, machine := range m.machines {
				machine.reservedForJob = ""
			}
		}
	})
}

// BenchmarkRebalanceSnapshot is the leader's work every two seconds to show the planner of moves all that runs.
func BenchmarkRebalanceSnapshot(b *testing.B) {
	bySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, _ := largeFleet(b, machines)
		for b.Loop() {
			m.TeamUsage(*now)
			m.RebalanceSnapshot(*now, nil)
		}
	})
}
