package saffronbend

import (
	"runtime"
	"testing"

	"saffronbend/internal/settings"
)

func TestMemoryGuard(t *testing.T) {
	const block = 64 << 20
	set := &settings.Settings{}
	guard := memoryGuard{set}
	set.Deployment.Limits.MemoryMB = float64(heldMemory()+block/2) / (1 << 20) / 0.85
	if guard.short() {
		t.Fatal("short of memory with half a block to spare")
	}
	held := make([]byte, block)
	for i := range held {
		held[i] = 1
	}
	if !guard.short() {
		t.Fatal("not short of memory half a block beyond")
	}
	runtime.KeepAlive(held)
}
