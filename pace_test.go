package saffronbend

import (
	"testing"

	"saffronbend/internal/micros"
)

func TestPace(t *testing.T) {
	p := pace{every: 500 * micros.Millisecond}
	steps := []struct {
		after  micros.Duration
		behind bool
	}{
		{10 * micros.Second, false}, // the first tick
		{500 * micros.Millisecond, false},
		{500*micros.Millisecond + tooLate, false},
		{500*micros.Millisecond + tooLate + 1, true},
		{100 * micros.Millisecond, false}, // the next comes early after a late one
		{2 * micros.Second, true},
	}
	now := micros.Timestamp(0)
	for i, s := range steps {
		now = now.Add(s.after)
		p.tick(now)
		if p.behind != s.behind {
			t.Errorf("step %d: behind is %v, want %v", i, p.behind, s.behind)
		}
	}
}
