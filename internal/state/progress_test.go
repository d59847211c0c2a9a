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
		{"no task", 0, nil, ""},
		{"none done", 20, nil, ""},
		{"first", 1, []int{0}, "01"},
		{"last of a byte", 8, []int{7}, "80"},
		{"several bytes", 20, []int{0, 2, 8, 19}, "050108"},
		{"all", 9, []int{0, 1, 2, 3, 4, 5, 6, 7, 8}, "ff01"},
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

func TestDecodeDoneBitmapOfWhatIsNone(t *testing.T) {
	for _, bitmap := range []string{"0", "xy", "0 "} {
		if err := DecodeDoneBitmap(bitmap, func(int) { t.Error("visited a task") }); err == nil {
			t.Errorf("%q: no error", bitmap)
		}
	}
}

// longestPlacement has the longest values that occur: 5 digits of task, machine IDs as the cloud forms them.
var longestPlacement = Placement{
	Task: wire.MaxTasks - 1, Machine: "n-999999", Attempt: math.MaxInt64, Incarnation: 99_999,
}

// A shard's record must fit into a value when all its tasks are placed.
func TestProgressShardSizeFitsTheLimit(t *testing.T) {
	cases := []struct {
		name    string
		kind    wire.JobKind
		valueKB float64
		want    int
	}{
		{"lowest limit", wire.KindArray, MinValueKB, 10},
		{"medium", wire.KindArray, 8, 99},
		{"no more than 256 tasks", wire.KindArray, 64, 256},
		{"gang, whatever the limit", wire.KindGang, 64, 10},
		{"never less than 4", wire.KindArray, 0.1, 4},
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
				t.Errorf("%d tasks take %d bytes", size, encoded)
			}
		})
	}
}

// The sum of the parts must not be less than the whole record.
func TestProgressRecordOverheadAndEncodedSize(t *testing.T) {
	for _, tasks := range []int{1, 8, 9, 256} {
		placement, err := longestPlacement.EncodedSize()
		if err != nil {
			t.Fatal(err)
		}
		record := len(encodeFullRecord(t, tasks))
		if bound := ProgressRecordOverhead(tasks) + tasks*placement; record > bound || record < bound-1 {
			t.Errorf("%d tasks: the record takes %d bytes, the bound is %d", tasks, record, bound)
		}
	}
}

// encodeFullRecord returns a record of so many tasks that are all placed, and all done.
func encodeFullRecord(t *testing.T, tasks int) []byte {
	t.Helper()
	mark := strings.Repeat("z", 13)
	record := ProgressRecord{
		Done:            EncodeDoneBitmap(tasks, func(int) bool { return true }),
		Active:          slices.Repeat([]Placement{longestPlacement}, tasks),
		IdempotencyMark: mark + "." + mark,
	}
	encoded, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}
