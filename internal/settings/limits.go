package settings

// StoreLimits are the limits of the key-value store.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`       // requests a second, of all controllers together
	WriteRPS float64 `toml:"write_rps"` // writes a second, of all controllers together
	ValueKB  float64 `toml:"value_kb"`  // size of a value, in units of 1024 bytes
	TxnOps   int     `toml:"txn_ops"`   // operations of a transaction
	// Upcoming holds limits that will take the place of the others at a moment that is not announced.
	Upcoming UpcomingStoreLimits `toml:"next"`
}

// UpcomingStoreLimits are limits of the store that will hold later; nil: that limit stays as it is.
type UpcomingStoreLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Effective returns the smaller of each current and upcoming limit, with none upcoming. The moment of the change isn't
// announced; what is written within these limits is accepted before and after it.
func (l StoreLimits) Effective() StoreLimits {
	upcoming := l.Upcoming
	if upcoming.RPS != nil {
		l.RPS = min(l.RPS, *upcoming.RPS)
	}
	if upcoming.WriteRPS != nil {
		l.WriteRPS = min(l.WriteRPS, *upcoming.WriteRPS)
	}
	if upcoming.ValueKB != nil {
		l.ValueKB = min(l.ValueKB, *upcoming.ValueKB)
	}
	if upcoming.TxnOps != nil {
		l.TxnOps = min(l.TxnOps, *upcoming.TxnOps)
	}
	l.Upcoming = UpcomingStoreLimits{}
	return l
}

// Limits is what one controller's process may use. The platform ends a process that holds more memory.
type Limits struct {
	CoreShare      float64 `toml:"core_share"` // of a processor core; 1 is a whole one
	MemoryMB       float64 `toml:"mem_mb"`     // in units of 1024×1024 bytes
	MaxConnections int     `toml:"max_connections"`
}

// Parts of a process's memory limit.
const (
	// runtimeMemoryPart is what the Go runtime is limited to; the rest is for its own needs and the kernel's buffers.
	runtimeMemoryPart = 0.7
	// admissionMemoryPart is the part beyond which no new work is admitted: the garbage collector has then not kept the
	// process within the runtime's part, and the platform ends a process that exceeds its limit.
	admissionMemoryPart = 0.85
	bytesPerMB          = 1 << 20
)

// RuntimeMemoryLimit returns how much memory the Go runtime may use, in bytes.
func (s *Settings) RuntimeMemoryLimit() int64 {
	return int64(s.Deployment.Limits.MemoryMB * runtimeMemoryPart * bytesPerMB)
}

// MemoryAdmissionLimit returns how much memory the process may hold, in bytes, while it admits new work.
func (s *Settings) MemoryAdmissionLimit() uint64 {
	return uint64(s.Deployment.Limits.MemoryMB * admissionMemoryPart * bytesPerMB)
}

// PerController returns the part of a limit of all controllers together that each of them may use.
func (s *Settings) PerController(limit float64) float64 {
	return limit / float64(max(1, s.Deployment.Controllers, len(s.Peers)+1))
}
