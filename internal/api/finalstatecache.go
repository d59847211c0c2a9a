package api

import (
	"sync"

	"saffronbend/wire"
)

// finalStateCache caches the states of jobs in a final state, so that polls of them do not reach the store. A final
// state never changes, so entries need no invalidation. The cache has two generations, which bounds its memory and
// keeps the most recent entries. It is safe for concurrent use.
type finalStateCache struct {
	mu sync.Mutex
	// When the newer generation has generationSize entries, it replaces the older one, whose entries are evicted.
	generationSize int
	newer, older   map[wire.JobID]wire.JobState
}

// newFinalStateCache returns a cache of at most size jobs.
func newFinalStateCache(size int) *finalStateCache {
	return &finalStateCache{
		generationSize: size / 2,
		newer:          map[wire.JobID]wire.JobState{}, older: map[wire.JobID]wire.JobState{},
	}
}

func (c *finalStateCache) get(job wire.JobID) (wire.JobState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if jobState, ok := c.newer[job]; ok {
		return jobState, true
	}
	jobState, ok := c.older[job]
	return jobState, ok
}

func (c *finalStateCache) put(job wire.JobID, jobState wire.JobState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.newer) >= c.generationSize {
		c.older, c.newer = c.newer, map[wire.JobID]wire.JobState{}
	}
	c.newer[job] = jobState
}
