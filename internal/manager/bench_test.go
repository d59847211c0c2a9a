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

// fleetSizes are the fleet sizes, in machines, that the benchmarks measure.
var fleetSizes = []int{500, 1000, 2000, 4000}

// runBySize runs a benchmark for each fleet size.
func runBySize(b *testing.B, run func(b *testing.B, machines int)) {
	b.Helper()
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) { run(b, machines) })
	}
}

// newLargeFleet returns a Manager with the given number of machines, each of which runs 8 tasks. next returns the
// machines' heartbeats in turn, with only the sequence number changed.
func newLargeFleet(b *testing.B, machines int) (m *Manager, now *micros.Timestamp, next func() *wire.Heartbeat) {
	b.Helper()
	const tasksPerMachine = 8
	now = new(micros.Timestamp)
	*now = 1000
	m, err := New(*now, Config{
		FencingToken:      token,
		Teams:             []settings.Team{{Name: "red"}},
		WorkerLease:       26 * micros.Second,
		HeartbeatInterval: 5 * micros.Second,
		LeaseMargin:       micros.Second,
		CancelTimeout:     56 * micros.Second,
		Tuning:            settings.Tuning{FirstLease: 100 * micros.Second},
		MaxCommandPushes:  100,
		StoreLimits:       settings.StoreLimits{TxnOps: 32, ValueKB: 8},
	}, 0, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	m.SetTypes([]wire.MachineType{{Name: "small", CPUs: 32, MemoryGB: 64, CacheGB: 50, Zones: []string{"a"}}})
	heartbeats := newHeartbeats(machines)
	i := 0
	next = func() *wire.Heartbeat {
		heartbeat := heartbeats[i%machines]
		i++
		heartbeat.Sequence++
		return heartbeat
	}
	for range machines {
		m.Heartbeat(*now, next(), "", true)
	}
	fillFleet(m, *now, heartbeats, tasksPerMachine)
	for _, heartbeat := range heartbeats {
		for _, attempt := range attemptsByID(m.machines.byID[heartbeat.Machine].attempts) {
			heartbeat.Tasks = append(heartbeat.Tasks, runningTask(attempt.taskName, attempt.id))
		}
		heartbeat.Sequence++
		m.Heartbeat(*now, heartbeat, "", true)
	}
	m.Snapshot(*now)
	b.ReportAllocs()
	b.ResetTimer()
	return m, now, next
}

// newHeartbeats returns a heartbeat without tasks for each machine.
func newHeartbeats(machines int) []*wire.Heartbeat {
	heartbeats := make([]*wire.Heartbeat, machines)
	for i := range heartbeats {
		heartbeats[i] = &wire.Heartbeat{
			Machine: wire.MachineID(fmt.Sprintf("n-%06d", i)), Addr: "10.1.0.1:9000", Type: "small", Zone: "a",
			Incarnation: 1, FencingToken: token,
		}
	}
	return heartbeats
}

// fillFleet places the tasks of 100 jobs, tasksPerMachine on each machine, and commits the writes.
func fillFleet(m *Manager, now micros.Timestamp, heartbeats []*wire.Heartbeat, tasksPerMachine int) {
	const jobs = 100
	for j := range jobs {
		id := wire.JobID(fmt.Sprintf("run-%06d", j+1))
		rec := record(id, len(heartbeats)*tasksPerMachine/jobs, nil)
		m.OpenJobRecordChanged(now, micros.KnownTimestamp(now), 0, rec, uint64(j+1))
		for k := range len(heartbeats) / jobs {
			machine := heartbeats[j*len(heartbeats)/jobs+k].Machine
			request := lease.Request{Job: id, Machine: machine, Count: tasksPerMachine, Duration: workerLease}
			m.Grant(now, lease.Transaction{Requests: []lease.Request{request}})
		}
	}
	for revision := uint64(1000); ; revision++ {
		batch := m.NextWrite(now)
		if batch == nil {
			break
		}
		m.WriteCommitted(now, batch.ID, revision)
	}
}

// BenchmarkHeartbeat measures a heartbeat that reports no changes.
func BenchmarkHeartbeat(b *testing.B) {
	runBySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, next := newLargeFleet(b, machines)
		for b.Loop() {
			m.Heartbeat(*now, next(), "", true)
		}
	})
}

// BenchmarkPublishRound measures the leader's work in a quarter of a second: a twentieth of the machines report, then a
// snapshot and a follower's update are published.
func BenchmarkPublishRound(b *testing.B) {
	runBySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, next := newLargeFleet(b, machines)
		for b.Loop() {
			for range machines / 20 {
				m.Heartbeat(*now, next(), "", true)
			}
			snapshot := m.Snapshot(*now)
			m.SnapshotUpdate(*now, snapshot.Version-1)
		}
	})
}

// BenchmarkMachinesListed measures a list of machines from the cloud that contains no changes.
func BenchmarkMachinesListed(b *testing.B) {
	runBySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, next := newLargeFleet(b, machines)
		var list []wire.Machine
		for range len(m.machines.byID) {
			heartbeat := next()
			list = append(list, wire.Machine{
				ID: heartbeat.Machine, Addr: heartbeat.Addr, Type: heartbeat.Type, Zone: heartbeat.Zone,
				State: wire.MachineRunning,
			})
		}
		for b.Loop() {
			m.MachinesListed(*now, list)
			m.Snapshot(*now)
		}
	})
}

// BenchmarkTick measures the periodic check of machines' leases and reclaim notices, which the leader runs twice a
// second.
func BenchmarkTick(b *testing.B) {
	runBySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, _ := newLargeFleet(b, machines)
		for b.Loop() {
			m.Tick(*now)
		}
	})
}

// BenchmarkWholeSnapshot measures the cost of a newly connected follower to the leader: encoding the whole snapshot.
func BenchmarkWholeSnapshot(b *testing.B) {
	runBySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, _ := newLargeFleet(b, machines)
		size := 0
		for b.Loop() {
			data, err := json.Marshal(m.SnapshotUpdate(*now, 0))
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "snapshot-bytes")
	})
}

// BenchmarkHeap reports the heap memory that a Manager uses with a fully loaded fleet.
func BenchmarkHeap(b *testing.B) {
	runBySize(b, func(b *testing.B, machines int) {
		b.Helper()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m, _, _ := newLargeFleet(b, machines)
		runtime.GC()
		runtime.ReadMemStats(&after)
		for b.Loop() {
			runtime.KeepAlive(m)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(machines), "heap-bytes/machine")
	})
}

// BenchmarkPushesAllInFlight measures CommandPushes while the maximum number of pushes is in flight and every machine
// is a candidate. The leader's event loop calls CommandPushes continually.
func BenchmarkPushesAllInFlight(b *testing.B) {
	runBySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, _ := newLargeFleet(b, machines)
		m.pushes.inFlight = m.pushes.maxInFlight
		for id := range m.machines.byID {
			m.pushes.candidates[id] = true
		}
		for b.Loop() {
			m.CommandPushes(*now, true)
		}
	})
}

// BenchmarkReserveForWaitingJobs measures the reservation of machines, which the leader runs twice a second, while
// eight jobs with large tasks have waited long and all machines are full of small tasks.
func BenchmarkReserveForWaitingJobs(b *testing.B) {
	runBySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, next := newLargeFleet(b, machines)
		for j := range maxReservingJobs {
			rec := record(wire.JobID(fmt.Sprintf("run-%06d", 900+j)), 100, func(spec *wire.Job) { spec.CPUs = 32 })
			m.OpenJobRecordChanged(*now, micros.KnownTimestamp(*now), 0, rec, uint64(5000+j))
		}
		*now = now.Add(micros.Minute)
		for range m.machines.byID {
			m.Heartbeat(*now, next(), "", true)
		}
		b.ResetTimer()
		for b.Loop() {
			m.ReserveForWaitingJobs(*now)
			for _, machine := range m.machines.byID {
				machine.reservedForJob = ""
			}
		}
	})
}

// BenchmarkRebalanceSnapshot measures the input of the rebalancing planner, which the leader builds every two seconds.
func BenchmarkRebalanceSnapshot(b *testing.B) {
	runBySize(b, func(b *testing.B, machines int) {
		b.Helper()
		m, now, _ := newLargeFleet(b, machines)
		for b.Loop() {
			m.TeamUsage(*now)
			m.RebalanceSnapshot(*now, nil)
		}
	})
}
