// Package lease holds the messages by which framework schedulers ask the Resource Manager for leases.
package lease

import "saffronbend/internal/micros"

// Request is a scheduler's request for leases on one machine for tasks of one job, or,
// with Wait, for the place of the one waiter of a lease.
type Request struct {
	Job      string          `json:"job"`
	Machine  string          `json:"machine"`
	Count    int             `json:"count,omitempty"`
	Duration micros.Duration `json:"lease,omitempty"`
	WaitFor  uint64          `json:"wait,omitempty"` // attempt whose lease is waited for
}

// Transaction is an atomic lease request: with All, either every ask is granted or none.
type Transaction struct {
	Requests     []Request `json:"asks"`
	AllOrNothing bool      `json:"all,omitempty"`
}

// Result says how many tasks each ask of a request was granted.
type Result struct {
	Granted []int `json:"granted"`
}
