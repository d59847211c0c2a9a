// Package lease holds the messages with which framework schedulers request leases from the Resource Manager.
//
// Schedulers build transactions, package manager serves them with Manager.Grant, and package peer carries them from
// other controllers to the leader. The package decides nothing. Its JSON keys are those of the stream between
// controllers.
package lease

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Request is a scheduler's request for leases of a job's tasks on one machine or, with WaitFor, to be the one waiter
// of an attempt's lease.
type Request struct {
	Job      wire.JobID      `json:"job"`
	Machine  wire.MachineID  `json:"machine"`
	Count    int             `json:"count,omitempty"` // tasks
	Duration micros.Duration `json:"lease,omitempty"` // of each lease, as the scheduler expects the tasks to run
	WaitFor  wire.AttemptID  `json:"wait,omitempty"`  // the attempt whose lease the job waits for; 0: none
}

// Transaction is a lease request that is served atomically. With AllOrNothing either every request is granted in full
// or none is; without, each is granted as many leases as there is room for.
type Transaction struct {
	Requests     []Request `json:"asks"`
	AllOrNothing bool      `json:"all,omitempty"`
}

// Result is the answer to a Transaction.
type Result struct {
	// Granted is how many leases each request was granted, in the order of the requests; 1 for one that may wait.
	Granted []int `json:"granted"`
}
