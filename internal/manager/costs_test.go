package manager

import (
	"testing"

	"saffronbend/wire"
)

// Divides the cost of one hour of a machine by the use of its CPUs.
func TestMachineCostsAreDividedByCPUs(t *testing.T) {
	attempt := func(cpus float64, taskState wire.TaskState) *taskAttempt {
		record := record("run-1", 1, func(job *wire.Job) { job.CPUs = cpus })
		return &taskAttempt{job: &jobState{record: record}, reportedState: taskState}
	}
	half := attempt(4, wire.TaskRunning)
	for _, c := range []struct {
		name    string
		machine machineState
		want    costAccount
	}{
		{"starting", machineState{listing: cloudListing{state: wire.MachineStarting}}, costAccount{booting: 2}},
		{"not reporting", machineState{listing: cloudListing{state: wire.MachineRunning}}, costAccount{notReporting: 2}},
		{"failed", machineState{listing: cloudListing{state: wire.MachineFailed}}, costAccount{}},
		{"another leader's token", machineState{agent: agentState{reporting: true}}, costAccount{notReporting: 2}},
		{"idle", machineState{agent: agentState{reporting: true, tokenAcknowledged: true}}, costAccount{idle: 2}},
		{"idle spot machine",
			machineState{spot: true, agent: agentState{reporting: true, tokenAcknowledged: true}}, costAccount{idle: 1}},
		{"half of the CPUs run a task", machineState{
			agent:    agentState{reporting: true, tokenAcknowledged: true},
			attempts: map[string]*taskAttempt{"run-1/0": half},
		}, costAccount{running: 1, idle: 1}},
		{"a quarter of the CPUs wait for an image", machineState{
			agent:    agentState{reporting: true, tokenAcknowledged: true},
			attempts: map[string]*taskAttempt{"run-1/0": half, "run-1/1": attempt(2, wire.TaskFetching)},
		}, costAccount{running: 1, fetching: 0.5, idle: 0.5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.machine.machineType = &wire.MachineType{CPUs: 8, Price: 2, SpotPrice: 1}
			var costs costAccount
			costs.addMachine(&c.machine, 1)
			if costs != c.want {
				t.Errorf("got %+v, want %+v", costs, c.want)
			}
		})
	}
}
