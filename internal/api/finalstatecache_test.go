package api

import (
	"strconv"
	"testing"

	"saffronbend/wire"
)

func TestFinalStateCacheKeepsRecentJobs(t *testing.T) {
	const size = 10
	cache := newFinalStateCache(size)
	const jobs = 3 * size
	for i := range jobs {
		cache.put(wire.JobID(strconv.Itoa(i)), wire.JobDone)
	}
	cached := 0
	for i := range jobs {
		if _, ok := cache.get(wire.JobID(strconv.Itoa(i))); ok {
			cached++
		}
	}
	if cached < size/2 || cached > size {
		t.Errorf("%d jobs are cached, want %d to %d", cached, size/2, size)
	}
	for i := jobs - size/2; i < jobs; i++ {
		if jobState, ok := cache.get(wire.JobID(strconv.Itoa(i))); !ok || jobState != wire.JobDone {
			t.Errorf("job %d of %d: %q, %v; want it to be cached", i+1, jobs, jobState, ok)
		}
	}
}
