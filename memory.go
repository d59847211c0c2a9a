package saffronbend

import (
	"runtime/metrics"

	"saffronbend/internal/settings"
)

// memoryGuard detects when the process gets close to its memory limit.
type memoryGuard struct{ settings *settings.Settings }

// nearLimit reports whether requests that need more memory should be rejected. The platform kills a process that
// exceeds its memory limit, and all its work in flight is lost.
func (g memoryGuard) nearLimit() bool { return runtimeMemory() > g.settings.MemoryAdmissionLimit() }

// runtimeMemory returns how much memory the Go runtime has obtained from the operating system and not yet released, in
// bytes.
func runtimeMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
