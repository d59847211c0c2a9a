package settings

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second of all controllers together
	WriteRPS float64 `toml:"write_rps"` // writes per second of all controllers together
	ValueKB  float64 `toml:"value_kb"`  // size of a value in units of 1024 bytes
	TxnOps   int     `toml:"txn_ops"`   // operations per transaction
	// Upcoming holds limits that will replace the current ones at a time that is not announced.
	Upcoming UpcomingStoreLimits `toml:"next"`
}

// UpcomingStoreLimits holds future limits of the key-value store. A limit that is nil does not change.
type UpcomingStoreLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Effective returns the smaller of the current and the upcoming value of each limit. The time of the change isn't
// announced; a request within the effective limits is accepted before and after it. The result has no upcoming limits.
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

// ProcessLimits holds the resource limits of one controller's process. The platform kills a process that exceeds its
// memory limit.
type ProcessLimits struct {
	CoreShare      float64 `toml:"core_share"` // share of a processor core; 1 is a whole core
	MemoryMB       float64 `toml:"mem_mb"`     // memory in units of 1024×1024 bytes
	MaxConnections int     `toml:"max_connections"`
}

// Fractions of the process's memory limit.
const (
	// runtimeMemoryFraction is the memory limit of the Go runtime. The rest is for memory that the runtime's limit does
	// not cover and for the kernel's buffers.
	runtimeMemoryFraction = 0.7
	// admissionMemoryFraction is the memory usage above which no new work is admitted. At this usage the garbage collector
	// has failed to keep the process within the runtime's limit, and the platform kills a process that exceeds its own
	// limit.
	admissionMemoryFraction = 0.85
	bytesPerMB              = 1 << 20
)

// RuntimeMemoryLimit returns the memory limit of the Go runtime in bytes.
func (s *Settings) RuntimeMemoryLimit() int64 {
	return int64(s.Deployment.Limits.MemoryMB * runtimeMemoryFraction * bytesPerMB)
}

// MemoryAdmissionLimit returns the memory usage in bytes above which the process does not admit new work.
func (s *Settings) MemoryAdmissionLimit() uint64 {
	return uint64(s.Deployment.Limits.MemoryMB * admissionMemoryFraction * bytesPerMB)
}

// PerController returns the part of a limit that each controller may use, if the limit applies to all controllers
// together.
func (s *Settings) PerController(limit float64) float64 {
	return limit / float64(max(1, s.Deployment.Controllers, len(s.Peers)+1))
}
