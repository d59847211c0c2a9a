package wire

// MachinePageSize is the maximum number of machines that the cloud lists in one response.
const MachinePageSize = 500

// MachineState is the state of a machine in the cloud's list.
type MachineState string

// The states of a machine.
const (
	MachineStarting MachineState = "starting"
	MachineRunning  MachineState = "running"
	MachineFailed   MachineState = "failed" // stopped without a deletion request; listed until it is deleted
)

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name      string   `json:"name"`
	CPUs      float64  `json:"cores"`
	GPUs      float64  `json:"cards"`
	MemoryGB  float64  `json:"memory_gb"`
	CacheGB   float64  `json:"local_gb"`      // size of the image cache
	FetchGBPS float64  `json:"pull_gb_per_s"` // nominal image fetch rate, in GB/s
	Price     float64  `json:"price"`         // per hour
	SpotPrice float64  `json:"spot_price"`    // current price per hour
	BootS     float64  `json:"ready_s"`       // nominal boot time
	Zones     []string `json:"yards"`
}

// MachineTypes is the response with the cloud's list of machine types.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// ScaleOutRequest is a request to create machines. It is idempotent: the response to a repeated RequestID is the same
// as the first time. A RequestID must therefore never be reused for a different request.
type ScaleOutRequest struct {
	RequestID string `json:"hire"`
	Type      string `json:"build"`
	Zone      string `json:"yard"`
	Spot      bool   `json:"loaners"`
	Count     int    `json:"number"`
}

// MachineIDs is the response to a ScaleOutRequest and also the body of a request to delete machines.
type MachineIDs struct {
	IDs []MachineID `json:"boxes"`
}

// Machine is an entry of the cloud's list of machines.
type Machine struct {
	ID    MachineID    `json:"id"`
	Addr  string       `json:"address"`
	Type  string       `json:"build"`
	Zone  string       `json:"yard"`
	Spot  bool         `json:"loaners"`
	State MachineState `json:"status"`
	AgeS  float64      `json:"held_s"` // time since the request that created the machine
}

// MachinePage is one page of the cloud's list of machines, sorted by ID.
type MachinePage struct {
	Machines []Machine `json:"boxes"`
	More     bool      `json:"truncated"`
}
