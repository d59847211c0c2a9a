// Package lease defines the messages with which framework schedulers request task leases from the resource manager.
//
// Schedulers build transactions, Manager.Grant in package manager serves them, and package peer sends them from other
// controllers to the leader. This package contains no logic. The JSON keys are part of the protocol between
// controllers.
package lease

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Request is a scheduler's request for leases for tasks of a job on one machine. If WaitFor is set, it is instead a
// request to register the job as the only waiter for the end of another attempt's lease.
type Request struct {
	Job      wire.JobID      `json:"job"`
	Machine  wire.MachineID  `json:"machine"`
	Count    int             `json:"count,omitempty"` // number of tasks
	Duration micros.Duration `json:"lease,omitempty"` // duration of each lease: the run time that the scheduler expects
	WaitFor  wire.AttemptID  `json:"wait,omitempty"`  // the attempt whose lease the job waits for; 0 means none
}

// Transaction is a list of lease requests that is served atomically. With AllOrNothing, either every request is granted
// in full or none is granted. Without it, each request is granted as many leases as there are free resources for.
type Transaction struct {
	Requests     []Request `json:"asks"`
	AllOrNothing bool      `json:"all,omitempty"`
}

// Result is the response to a Transaction.
type Result struct {
	// Granted holds the number of leases granted to each request, in the order of the requests. For a request with
	// WaitFor it is 1 if the job was registered as the waiter.
	Granted []int `json:"granted"`
}
