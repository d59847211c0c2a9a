package saffronbend

import (
	"runtime"
	"testing"

	"saffronbend/internal/settings"
)

func TestMemoryGuardDetectsUsageNearLimit(t *testing.T) {
	const blockBytes, bytesPerMB = 64 << 20, 1 << 20
	const admissionShare = 0.85 // share of the memory limit, as in settings.MemoryAdmissionLimit
	cfg := &settings.Settings{}
	guard := memoryGuard{cfg}
	cfg.Deployment.Limits.MemoryMB = float64(runtimeMemory()+blockBytes/2) / bytesPerMB / admissionShare
	if guard.nearLimit() {
		t.Fatal("nearLimit is true half a block below the limit")
	}
	block := make([]byte, blockBytes)
	for i := range block {
		block[i] = 1
	}
	if !guard.nearLimit() {
		t.Fatal("nearLimit is false half a block above the limit")
	}
	runtime.KeepAlive(block)
}
