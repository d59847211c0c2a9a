package machinetypes

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"

	"saffronbend/internal/state"
	"saffronbend/wire"
)

// fakeStore returns value for the machine types' key, or err.
type fakeStore struct {
	value json.RawMessage
	err   error
}

func (s fakeStore) Get(_ context.Context, key string) (*wire.KeyValue, error) {
	if s.err != nil || s.value == nil || key != state.MachineTypesKey {
		return nil, s.err
	}
	return &wire.KeyValue{Key: key, Value: s.value}, nil
}

// fakeCloud fails the given number of times and then returns one machine type.
type fakeCloud struct{ failures int }

func (c *fakeCloud) MachineTypes(context.Context) ([]wire.MachineType, error) {
	if c.failures > 0 {
		c.failures--
		return nil, errors.New("cloud unavailable")
	}
	return []wire.MachineType{{Name: "of the cloud"}}, nil
}

func TestLoadInitialPrefersStoredTypes(t *testing.T) {
	stored, err := json.Marshal([]wire.MachineType{{Name: "stored"}})
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		store    fakeStore
		failures int
		want     string
	}{
		"stored types are used while the cloud is unavailable": {fakeStore{value: stored}, 1 << 30, "stored"},
		"no stored types":               {fakeStore{}, 0, "of the cloud"},
		"stored list is empty":          {fakeStore{value: json.RawMessage("[]")}, 0, "of the cloud"},
		"stored record is malformed":    {fakeStore{value: json.RawMessage("{")}, 0, "of the cloud"},
		"store is unavailable":          {fakeStore{err: state.ErrUnavailable}, 0, "of the cloud"},
		"cloud becomes available later": {fakeStore{}, 3, "of the cloud"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var catalog Catalog
				if catalog.Types() != nil {
					t.Fatal("new catalog contains types")
				}
				catalog.LoadInitial(t.Context(), c.store, &fakeCloud{c.failures}, slog.New(slog.DiscardHandler))
				if types := catalog.Types(); len(types) != 1 || types[0].Name != c.want {
					t.Errorf("loaded %v, want one type named %q", types, c.want)
				}
			})
		})
	}
}
