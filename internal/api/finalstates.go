package api

import (
	"sync"

	"saffronbend/wire"
)

// finalStates remembers jobs in a final state, which never changes again, so that polls of them do not reach the store.
// It keeps two generations: memory stays bounded, and recent jobs stay known. It is safe for concurrent use.
type finalStates struct {
	mu sync.Mutex
	// When the newer generation is full, it becomes the older one, whose jobs are forgotten.
	generationSize int
	newer, older   map[wire.JobID]wire.JobState
}

// newFinalStates returns a memory of at most size jobs.
func newFinalStates(size int) *finalStates {
	return &finalStates{
		generationSize: size / 2,
		newer:          map[wire.JobID]wire.JobState{}, older: map[wire.JobID]wire.JobState{},
	}
}

func (f *finalStates) get(job wire.JobID) (wire.JobState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if jobState, ok := f.newer[job]; ok {
		return jobState, true
	}
	jobState, ok := f.older[job]
	return jobState, ok
}

func (f *finalStates) put(job wire.JobID, jobState wire.JobState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.newer) >= f.generationSize {
		f.older, f.newer = f.newer, map[wire.JobID]wire.JobState{}
	}
	f.newer[job] = jobState
}
