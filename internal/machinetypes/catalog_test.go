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

// fakeStore answers with a value for the key of the types, or with an error.
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

// fakeCloud fails so many times before it answers with one type.
type fakeCloud struct{ failures int }

func (c *fakeCloud) MachineTypes(context.Context) ([]wire.MachineType, error) {
	if c.failures > 0 {
		c.failures--
		return nil, errors.New("the cloud does not answer")
	}
	return []wire.MachineType{{Name: "of the cloud"}}, nil
}

func TestLearn(t *testing.T) {
	stored, err := json.Marshal([]wire.MachineType{{Name: "stored"}})
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		store    fakeStore
		failures int
		want     string
	}{
		"stored types serve while the cloud does not answer": {fakeStore{value: stored}, 1 << 30, "stored"},
		"nothing stored":           {fakeStore{}, 0, "of the cloud"},
		"an empty list is stored":  {fakeStore{value: json.RawMessage("[]")}, 0, "of the cloud"},
		"a record can't be read":   {fakeStore{value: json.RawMessage("{")}, 0, "of the cloud"},
		"the store does not serve": {fakeStore{err: state.ErrUnavailable}, 0, "of the cloud"},
		"the cloud answers later":  {fakeStore{}, 3, "of the cloud"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var catalog Catalog
				if catalog.Types() != nil {
					t.Fatal("a new catalog has types")
				}
				catalog.Learn(t.Context(), c.store, &fakeCloud{c.failures}, slog.New(slog.DiscardHandler))
				if types := catalog.Types(); len(types) != 1 || types[0].Name != c.want {
					t.Errorf("learned %v, want one named %q", types, c.want)
				}
			})
		})
	}
}
