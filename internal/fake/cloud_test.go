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

// newTestCloud returns a cloud in a synctest bubble. It may rent three machines in zone a; nobody answers the
// heartbeats of their workers. When the test ends, the machines are reclaimed.
func newTestCloud(t *testing.T) *Cloud {
	t.Helper()
	types := []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, BootS: testBootTime.Seconds()}}
	config := WorkerConfig{HeartbeatInterval: testInterval, LeaseDuration: testLease, Network: NewNetwork(),
		Controllers: []Controller{{Name: "c0", Address: "10.0.0.1:8080"}}, Checker: invariant.NewChecker()}
	cloud := NewCloud(types, testListLag, func(machine Machine) *Worker { return NewWorker(t.Context(), config, machine) })
	cloud.SetCapacity("small", "a", false, 3)
	t.Cleanup(func() {
		for _, machine := range cloud.RunningMachines() {
			cloud.ReclaimMachine(machine.ID)
		}
	})
	return cloud
}

// scaleOut asks for machines and returns the status and their IDs.
func scaleOut(t *testing.T, cloud *Cloud, requestID string, count int) (status int, ids []wire.MachineID) {
	t.Helper()
	var machines wire.MachineIDs
	body := wire.ScaleOutRequest{RequestID: requestID, Type: "small", Zone: "a", Count: count}
	status = request(t, cloud, http.MethodPost, "/machines", body, &machines)
	return status, machines.IDs
}

// list returns the first page of machines.
func list(t *testing.T, cloud *Cloud) []wire.Machine {
	t.Helper()
	var page wire.MachinePage
	request(t, cloud, http.MethodGet, "/machines", nil, &page)
	return page.Machines
}

// A repeated request returns the machines of the first, also when its response was lost.
func TestScaleOutIsIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cloud := newTestCloud(t)
		cloud.LoseNextResponse()
		body := wire.ScaleOutRequest{RequestID: "r1", Type: "small", Zone: "a", Count: 2}
		if status := request(t, cloud, http.MethodPost, "/machines", body, nil); status != 0 {
			t.Errorf("status %d, want a lost response", status)
		}
		_, first := scaleOut(t, cloud, "r1", 2)
		_, second := scaleOut(t, cloud, "r1", 2)
		if len(first) != 2 || !slices.Equal(first, second) || cloud.ScaledOut() != 2 {
			t.Errorf("%v, then %v; %d rented", first, second, cloud.ScaledOut())
		}
	})
}

// A request is answered with as many machines as there is capacity for, and refused if there is none; a machine that
// is returned can be rented again, under another ID.
func TestCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cloud := newTestCloud(t)
		_, ids := scaleOut(t, cloud, "r1", 5)
		if len(ids) != 3 || cloud.MachineCount() != 3 || cloud.MachinesInZone("a") != 3 {
			t.Fatalf("rented %v, want 3 machines", ids)
		}
		if status, _ := scaleOut(t, cloud, "r2", 1); status != http.StatusServiceUnavailable {
			t.Errorf("without capacity: %d", status)
		}
		returned := wire.MachineIDs{IDs: ids[:1]}
		if status := request(t, cloud, http.MethodPost, "/machines/delete", returned, nil); status != http.StatusOK {
			t.Errorf("return: %d", status)
		}
		if _, more := scaleOut(t, cloud, "r3", 1); len(more) != 1 || slices.Contains(ids, more[0]) {
			t.Errorf("rented %v after %v", more, ids)
		}
	})
}

// A machine is listed after the lag, and runs after its boot time; one that fails is listed as failed.
func TestMachineStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cloud := newTestCloud(t)
		_, ids := scaleOut(t, cloud, "r1", 1)
		if listed := list(t, cloud); len(listed) != 0 {
			t.Errorf("listed at once: %v", listed)
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

// A machine that is up from the start is listed at once; one that is reclaimed is gone.
func TestReclaimedMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cloud := newTestCloud(t)
		id := cloud.AddMachine("small", "a", true)
		if listed := list(t, cloud); len(listed) != 1 || listed[0].State != wire.MachineRunning || !listed[0].Spot {
			t.Errorf("listed %v", listed)
		}
		cloud.ReclaimMachine(id)
		if listed := list(t, cloud); len(listed) != 0 || cloud.Worker(id) != nil {
			t.Errorf("listed %v after it is reclaimed", listed)
		}
	})
}

func TestCloudRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cloud := newTestCloud(t)
		for _, c := range []struct {
			name, path string
			body       any
			want       int
		}{
			{"no request ID", "/machines", wire.ScaleOutRequest{Type: "small", Zone: "a", Count: 1}, http.StatusBadRequest},
			{"no machines", "/machines", wire.ScaleOutRequest{RequestID: "r", Type: "small"}, http.StatusBadRequest},
			{"too many machines", "/machines", wire.ScaleOutRequest{RequestID: "r", Count: maxScaledOut + 1},
				http.StatusBadRequest},
			{"too many returned", "/machines/delete", wire.MachineIDs{IDs: make([]wire.MachineID, maxReturned+1)},
				http.StatusBadRequest},
			{"another path", "/nothing", nil, http.StatusNotFound},
		} {
			if status := request(t, cloud, http.MethodPost, c.path, c.body, nil); status != c.want {
				t.Errorf("%s: status %d, want %d", c.name, status, c.want)
			}
		}
		cloud.SetOutage(true)
		if status := request(t, cloud, http.MethodGet, "/machine_types", nil, nil); status != http.StatusServiceUnavailable {
			t.Errorf("outage: status %d", status)
		}
	})
}
