package drains

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"saffronbend/internal/state"
	"saffronbend/wire"
)

func TestPaginateFitsValueSize(t *testing.T) {
	machines := make([]wire.MachineID, 500)
	for i := range machines {
		machines[i] = wire.MachineID(fmt.Sprintf("machine-%0*d", 1+i%20, i))
	}
	for _, valueKB := range []float64{1, 2.5, 64} {
		t.Run(fmt.Sprintf("%g KB", valueKB), func(t *testing.T) {
			pages := paginate(machines, valueKB)
			for i, page := range pages {
				value, err := json.Marshal(page)
				if err != nil {
					t.Fatal(err)
				}
				if float64(len(value)) > valueKB*1024 {
					t.Errorf("page %d has %d bytes, more than %g KB", i, len(value), valueKB)
				}
			}
			if !slices.Equal(slices.Concat(pages...), machines) {
				t.Error("the concatenated pages differ from the list of machines")
			}
		})
	}
}

func TestPaginateWithoutMachines(t *testing.T) {
	if pages := paginate(nil, 1); len(pages) != 0 {
		t.Errorf("got %d pages for an empty list of machines, want 0", len(pages))
	}
}

func TestDecodePages(t *testing.T) {
	item := func(key, value string) wire.KeyValue { return wire.KeyValue{Key: key, Value: json.RawMessage(value)} }
	pages, err := decodePages([]wire.KeyValue{
		item(state.DrainMachinesKey("7.1", 0), `["a","b"]`),
		item(state.DrainMachinesKey("7.1", 1), `["c"]`),
		item(state.DrainMachinesKey("8.1", 0), `["d"]`),
		item("drain/another", `{}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	want := map[pageID][]wire.MachineID{{"7.1", 0}: {"a", "b"}, {"7.1", 1}: {"c"}, {"8.1", 0}: {"d"}}
	if len(pages) != len(want) {
		t.Errorf("got %d pages, want %d", len(pages), len(want))
	}
	for id, machines := range want {
		if got := pages[id]; !slices.Equal(got, machines) {
			t.Errorf("page %v has %q, want %q", id, got, machines)
		}
	}
	if _, err := decodePages([]wire.KeyValue{item(state.DrainMachinesKey("7.1", 0), `{}`)}); err == nil {
		t.Error("no error for a page that is not a list of machines")
	}
}
