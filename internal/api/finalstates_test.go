package api

import (
	"strconv"
	"testing"

	"saffronbend/wire"
)

func TestFinalStatesOfRecentJobs(t *testing.T) {
	const size = 10
	states := newFinalStates(size)
	const jobs = 3 * size
	for i := range jobs {
		states.put(wire.JobID(strconv.Itoa(i)), wire.JobDone)
	}
	known := 0
	for i := range jobs {
		if _, ok := states.get(wire.JobID(strconv.Itoa(i))); ok {
			known++
		}
	}
	if known < size/2 || known > size {
		t.Errorf("%d jobs are known, want %d to %d", known, size/2, size)
	}
	for i := jobs - size/2; i < jobs; i++ {
		if jobState, ok := states.get(wire.JobID(strconv.Itoa(i))); !ok || jobState != wire.JobDone {
			t.Errorf("job %d of %d: %q, %v; want it to be known", i+1, jobs, jobState, ok)
		}
	}
}
