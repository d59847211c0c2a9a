package saffronbend

import "runtime/metrics"

// heldMemory is how much memory the runtime holds from the system, in bytes.
func heldMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// ShortOfMemory tells whether nothing should be taken on that needs more memory: the platform ends a process that exceeds
// its limit, with all that it has at work.
func (n *Node) ShortOfMemory() bool { return heldMemory() > n.set.MemoryAdmissionLimit() }
