package saffronbend

import (
	"runtime/metrics"

	"saffronbend/internal/settings"
)

// memoryGuard finds out whether the process comes close to its memory limit.
type memoryGuard struct{ settings *settings.Settings }

// short reports whether nothing should be accepted that needs more memory: the platform ends a process that exceeds its
// limit, with all the work that it has in flight.
func (g memoryGuard) short() bool { return heldMemory() > g.settings.MemoryAdmissionLimit() }

// heldMemory returns how much memory the runtime holds from the system, in bytes.
func heldMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
