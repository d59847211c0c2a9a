package api

import (
	"sync"

	"saffronbend/wire"
)

// finals remembers jobs that are over; their state never changes again. It keeps two
// generations, so that memory stays bounded and recent jobs stay known.
type finals struct {
	mu       sync.Mutex
	cap      int
	new, old map[string]wire.JobState
}

func newFinals(size int) *finals {
	return &finals{cap: size / 2, new: map[string]wire.JobState{}, old: map[string]wire.JobState{}}
}

func (f *finals) get(id string) (wire.JobState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st, ok := f.new[id]
	if !ok {
		st, ok = f.old[id]
	}
	return st, ok
}

func (f *finals) put(id string, status wire.JobState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.new) >= f.cap {
		f.old, f.new = f.new, map[string]wire.JobState{}
	}
	f.new[id] = status
}
