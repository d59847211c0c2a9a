package wire

// MachinePageSize is the largest number of machines that the cloud lists in one response.
const MachinePageSize = 500

// MachineState is a machine's state as the cloud lists it.
type MachineState string

// The states of a machine.
const (
	MachineStarting MachineState = "starting"
	MachineRunning  MachineState = "running"
	MachineFailed   MachineState = "failed" // stopped by itself; listed until it is deleted
)

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name      string   `json:"name"`
	CPUs      float64  `json:"cores"`
	GPUs      float64  `json:"cards"`
	MemoryGB  float64  `json:"memory_gb"`
	CacheGB   float64  `json:"local_gb"`      // for images
	FetchGBPS float64  `json:"pull_gb_per_s"` // nominal rate of image fetches
	Price     float64  `json:"price"`         // per hour
	SpotPrice float64  `json:"spot_price"`    // per hour, at present
	BootS     float64  `json:"ready_s"`       // nominal boot time
	Zones     []string `json:"yards"`
}

// MachineTypes is the cloud's list of machine types.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// ScaleOutRequest rents machines. It is idempotent: the cloud answers a repeated RequestID as the first time, so that
// one must never be used for another request.
type ScaleOutRequest struct {
	RequestID string `json:"hire"`
	Type      string `json:"build"`
	Zone      string `json:"yard"`
	Spot      bool   `json:"loaners"`
	Count     int    `json:"number"`
}

// MachineIDs is the response to a ScaleOutRequest, and the request that deletes machines.
type MachineIDs struct {
	IDs []MachineID `json:"boxes"`
}

// Machine is a machine as the cloud lists it.
type Machine struct {
	ID    MachineID    `json:"id"`
	Addr  string       `json:"address"`
	Type  string       `json:"build"`
	Zone  string       `json:"yard"`
	Spot  bool         `json:"loaners"`
	State MachineState `json:"status"`
	AgeS  float64      `json:"held_s"` // since the rental request
}

// MachinePage is a page of the cloud's list of machines, in the order of their IDs.
type MachinePage struct {
	Machines []Machine `json:"boxes"`
	More     bool      `json:"truncated"`
}
