package fake

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

const (
	testBootTime = 30 * time.Second
	testListLag  = 5 * time.Second
)

// newTestCloud returns a cloud for a test in a synctest bubble. Three machines can be created in zone a; the heartbeats
// of their workers get no response. When the test ends, the machines are reclaimed.
func newTestCloud(t *testing.T) *Cloud {
	t.Helper()
	types := []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, BootS: testBootTime.Seconds()}}
	config := WorkerConfig{HeartbeatInterval: testHeartbeatInterval, LeaseDuration: testLeaseDuration,
		Network: NewNetwork(), Controllers: []Controller{{Name: "c0", Address: "10.0.0.1:8080"}},
		Checker: invariant.NewChecker()}
	cloud := NewCloud(types, testListLag, func(machine Machine) *Worker { return NewWorker(t.Context(), config, machine) })
	cloud.SetCapacity("small", "a", false, 3)
	t.Cleanup(func() {
		for _, machine := range cloud.RunningMachines() {
			cloud.ReclaimMachine(machine.ID)
		}
	})
	return cloud
}

// scaleOut sends a request to scale out and returns the status and the IDs of the machines.
func scaleOut(t *testing.T, cloud *Cloud, requestID string, count int) (status int, ids []wire.MachineID) {
	t.Helper()
	var machines wire.MachineIDs
	body := wire.ScaleOutRequest{RequestID: requestID, Type: "small", Zone: "a", Count: count}
	status = sendRequest(t, cloud, http.MethodPost, "/machines", body, &machines)
	return status, machines.IDs
}

// list returns the first page of the list of machines.
func list(t *testing.T, cloud *Cloud) []wire.Machine {
	t.Helper()
	var page wire.MachinePage
	sendRequest(t, cloud, http.MethodGet, "/machines", nil, &page)
	return page.Machines
}

// TestScaleOutIsIdempotent checks that a repeated request to scale out returns the machines of the first one, also if
// the response to the first one was lost.
func TestScaleOutIsIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cloud := newTestCloud(t)
		cloud.LoseNextResponse()
		body := wire.ScaleOutRequest{RequestID: "r1", Type: "small", Zone: "a", Count: 2}
		if status := sendRequest(t, cloud, http.MethodPost, "/machines", body, nil); status != 0 {
			t.Errorf("status %d, want no response", status)
		}
		_, first := scaleOut(t, cloud, "r1", 2)
		_, second := scaleOut(t, cloud, "r1", 2)
		if len(first) != 2 || !slices.Equal(first, second) || cloud.ScaledOut() != 2 {
			t.Errorf("machines %v, then %v, %d created; want the same two machines", first, second, cloud.ScaledOut())
		}
	})
}

// TestScaleOutIsLimitedByCapacity checks that a request gets as many machines as there is capacity for, that it is
// rejected without capacity, and that a deleted machine makes capacity for another one with another ID.
func TestScaleOutIsLimitedByCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cloud := newTestCloud(t)
		_, ids := scaleOut(t, cloud, "r1", 5)
		if len(ids) != 3 || cloud.MachineCount() != 3 || cloud.MachinesInZone("a") != 3 {
			t.Fatalf("created %v, want 3 machines", ids)
		}
		if status, _ := scaleOut(t, cloud, "r2", 1); status != http.StatusServiceUnavailable {
			t.Errorf("scale-out without capacity: status %d", status)
		}
		returned := wire.MachineIDs{IDs: ids[:1]}
		if status := sendRequest(t, cloud, http.MethodPost, "/machines/delete", returned, nil); status != http.StatusOK {
			t.Errorf("return of a machine: status %d", status)
		}
		if _, more := scaleOut(t, cloud, "r3", 1); len(more) != 1 || slices.Contains(ids, more[0]) {
			t.Errorf("created %v after %v, want one machine with a new ID", more, ids)
		}
	})
}

// TestListedMachineStates checks that a machine is listed after the list lag, that it is listed as running after its
// boot time, and that a failed machine is listed as failed.
func TestListedMachineStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cloud := newTestCloud(t)
		_, ids := scaleOut(t, cloud, "r1", 1)
		if listed := list(t, cloud); len(listed) != 0 {
			t.Errorf("listed %v before the list lag has passed", listed)
		}
		for _, step := range []struct {
			wait time.Duration
			want wire.MachineState
		}{
			{testListLag, wire.MachineStarting},
			{testBootTime, wire.MachineRunning},
		} {
			time.Sleep(step.wait)
			if listed := list(t, cloud); len(listed) != 1 || listed[0].State != step.want {
				t.Errorf("listed %v, want one in state %s", listed, step.want)
			}
		}
		cloud.FailMachine(ids[0])
		if listed := list(t, cloud); len(listed) != 1 || listed[0].State != wire.MachineFailed {
			t.Errorf("listed %v, want one in state %s", listed, wire.MachineFailed)
		}
	})
}

// TestReclaimedMachineIsNotListed checks that a machine that is up from the start is listed immediately, and that a
// reclaimed machine is neither listed nor has a worker.
func TestReclaimedMachineIsNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cloud := newTestCloud(t)
		id := cloud.AddMachine("small", "a", true)
		if listed := list(t, cloud); len(listed) != 1 || listed[0].State != wire.MachineRunning || !listed[0].Spot {
			t.Errorf("listed %v, want one running spot machine", listed)
		}
		cloud.ReclaimMachine(id)
		if listed := list(t, cloud); len(listed) != 0 || cloud.Worker(id) != nil {
			t.Errorf("listed %v after the machine is reclaimed, worker exists: %v", listed, cloud.Worker(id) != nil)
		}
	})
}

func TestCloudRejectsInvalidRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cloud := newTestCloud(t)
		for _, c := range []struct {
			name, path string
			body       any
			want       int
		}{
			{"no request ID", "/machines", wire.ScaleOutRequest{Type: "small", Zone: "a", Count: 1}, http.StatusBadRequest},
			{"no machines", "/machines", wire.ScaleOutRequest{RequestID: "r", Type: "small"}, http.StatusBadRequest},
			{"too many machines", "/machines", wire.ScaleOutRequest{RequestID: "r", Count: maxMachinesPerScaleOut + 1},
				http.StatusBadRequest},
			{"too many deleted", "/machines/delete", wire.MachineIDs{IDs: make([]wire.MachineID, maxMachinesPerScaleIn+1)},
				http.StatusBadRequest},
			{"unknown path", "/nothing", nil, http.StatusNotFound},
		} {
			if status := sendRequest(t, cloud, http.MethodPost, c.path, c.body, nil); status != c.want {
				t.Errorf("%s: status %d, want %d", c.name, status, c.want)
			}
		}
		cloud.SetOutage(true)
		if status := sendRequest(t, cloud, http.MethodGet, "/machine_types",
			nil, nil); status != http.StatusServiceUnavailable {
			t.Errorf("during an outage: status %d, want %d", status, http.StatusServiceUnavailable)
		}
	})
}
