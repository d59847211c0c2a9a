package state

import (
	"encoding/json"
	"math"
	"slices"
	"strings"
	"testing"

	"saffronbend/wire"
)

func TestDoneBitmap(t *testing.T) {
	cases := []struct {
		name  string
		tasks int
		done  []int
		want  string
	}{
		{"no tasks", 0, nil, ""},
		{"no task done", 20, nil, ""},
		{"first task", 1, []int{0}, "01"},
		{"highest bit of a byte", 8, []int{7}, "80"},
		{"several bytes", 20, []int{0, 2, 8, 19}, "050108"},
		{"all tasks", 9, []int{0, 1, 2, 3, 4, 5, 6, 7, 8}, "ff01"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := EncodeDoneBitmap(c.tasks, func(task int) bool { return slices.Contains(c.done, task) })
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			var decoded []int
			if err := DecodeDoneBitmap(got, func(task int) { decoded = append(decoded, task) }); err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(decoded, c.done) {
				t.Errorf("decoded %v, want %v", decoded, c.done)
			}
		})
	}
}

func TestDecodeDoneBitmapRejectsInvalidHex(t *testing.T) {
	for _, bitmap := range []string{"0", "xy", "0 "} {
		if err := DecodeDoneBitmap(bitmap, func(int) { t.Error("visited a task") }); err == nil {
			t.Errorf("%q: got no error", bitmap)
		}
	}
}

// longestPlacement has the longest values that occur in practice: a 5-digit task index and a machine ID in the cloud's
// format.
var longestPlacement = Placement{
	Task: wire.MaxTasks - 1, Machine: "n-999999", Attempt: math.MaxInt64, Incarnation: 99_999,
}

// The record of a shard must not exceed the value size limit when all tasks of the shard are placed.
func TestProgressShardSizeFitsValueLimit(t *testing.T) {
	cases := []struct {
		name    string
		kind    wire.JobKind
		valueKB float64
		want    int
	}{
		{"lowest limit", wire.KindArray, MinValueKB, 10},
		{"medium limit", wire.KindArray, 8, 99},
		{"at most 256 tasks", wire.KindArray, 64, 256},
		{"gang uses the lowest limit", wire.KindGang, 64, 10},
		{"at least 4 tasks", wire.KindArray, 0.1, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			size := ProgressShardSize(c.kind, c.valueKB)
			if size != c.want {
				t.Errorf("got %d tasks, want %d", size, c.want)
			}
			if c.valueKB < MinValueKB {
				return
			}
			if encoded := len(encodeFullRecord(t, size)); encoded > int(c.valueKB*1024) {
				t.Errorf("the record of %d tasks has %d bytes, more than %v KiB", size, encoded, c.valueKB)
			}
		})
	}
}

// The overhead plus the encoded sizes of the placements must be at least the size of the whole record, and at most one
// byte more.
func TestProgressRecordOverheadAndEncodedSize(t *testing.T) {
	for _, tasks := range []int{1, 8, 9, 256} {
		placement, err := longestPlacement.EncodedSize()
		if err != nil {
			t.Fatal(err)
		}
		record := len(encodeFullRecord(t, tasks))
		if bound := ProgressRecordOverhead(tasks) + tasks*placement; record > bound || record < bound-1 {
			t.Errorf("%d tasks: the record has %d bytes, the computed bound is %d", tasks, record, bound)
		}
	}
}

// encodeFullRecord returns an encoded record with the given number of tasks, all of them both placed and done.
func encodeFullRecord(t *testing.T, tasks int) []byte {
	t.Helper()
	digits := strings.Repeat("z", 13)
	record := ProgressRecord{
		Done:            EncodeDoneBitmap(tasks, func(int) bool { return true }),
		Active:          slices.Repeat([]Placement{longestPlacement}, tasks),
		IdempotencyMark: digits + "." + digits,
	}
	encoded, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}
