package micros

import (
	"math"
	"testing"
	"testing/synctest"
	"time"
)

func TestSecondsRoundsAndSaturates(t *testing.T) {
	cases := []struct {
		name    string
		seconds float64
		want    Duration
	}{
		{"zero", 0, 0},
		{"whole", 90, 90 * Second},
		{"rounded up", 0.0000005, 1},
		{"rounded to the nearest", 0.0015004, 1500},
		{"negative", -2.5, -2500 * Millisecond},
		{"too long", 1e300, Forever},
		{"infinite", math.Inf(1), Forever},
		{"negative infinity", math.Inf(-1), -Forever},
		{"not a number", math.NaN(), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := Seconds(c.seconds); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

func TestDurationConversions(t *testing.T) {
	d := 1500 * Millisecond
	if d.Seconds() != 1.5 {
		t.Errorf("got %v s", d.Seconds())
	}
	if d.AsDuration() != 1500*time.Millisecond {
		t.Errorf("got %v", d.AsDuration())
	}
	if (-d).AsDuration() != -1500*time.Millisecond {
		t.Errorf("got %v", (-d).AsDuration())
	}
	if got := Forever.AsDuration(); got < 50*365*24*time.Hour {
		t.Errorf("Forever overflows to %v", got)
	}
	if got := d.Scale(0.5); got != 750*Millisecond {
		t.Errorf("scaled by 0.5: got %d", got)
	}
	if got := Forever.Scale(2); got != Forever {
		t.Errorf("Forever scaled by 2: got %d", got)
	}
}

func TestTimestampArithmetic(t *testing.T) {
	start := Timestamp(5)
	end := start.Add(Minute)
	if end != 60_000_005 {
		t.Errorf("got %d", end)
	}
	if got := end.Sub(start); got != Minute {
		t.Errorf("got %d", got)
	}
	if got := start.Sub(end); got != -Minute {
		t.Errorf("got %d", got)
	}
}

func TestClockAdvancesWithTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := NewClock()
		first := clock.Now()
		if first != Timestamp(Second) {
			t.Errorf("clock starts at %d, want one second", first)
		}
		unixMicros := clock.UnixMicro()
		time.Sleep(3 * time.Second)
		if got := clock.FromUnixMicro(unixMicros); got != first {
			t.Errorf("the start by the wall clock is %d, want %d", got, first)
		}
		if got := clock.Now().Sub(first); got != 3*Second {
			t.Errorf("monotonic clock advanced by %d µs in 3 s", got)
		}
		if got := clock.UnixMicro() - unixMicros; got != int64(3*Second) {
			t.Errorf("wall clock advanced by %d µs in 3 s", got)
		}
	})
}
