// Package machinetypes holds the catalog of machine types that the cloud offers. Each controller has one Catalog: Learn
// fills it at the start, the leader replaces its content as prices change, and the users' interface, the placer and the
// leader read it. It writes nothing to the key-value store.
package machinetypes

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"

	"saffronbend/internal/micros"
	"saffronbend/internal/routine"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// Store reads the types that a leader has stored.
type Store interface {
	Get(ctx context.Context, key string) (*wire.KeyValue, error)
}

// Cloud lists the types that it offers.
type Cloud interface {
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
}

// Catalog is the machine types as far as they are known. It may be used by several goroutines.
type Catalog struct {
	types atomic.Pointer[[]wire.MachineType]
}

// Types returns the machine types, or nil while they are not known. The slice must not be changed.
func (c *Catalog) Types() []wire.MachineType {
	if types := c.types.Load(); types != nil {
		return *types
	}
	return nil
}

// Replace sets the machine types. The slice must not be changed afterwards.
func (c *Catalog) Replace(types []wire.MachineType) { c.types.Store(&types) }

// Learn reads the machine types until they are known or ctx ends: those that a leader has stored, so that a
// controller can start while the cloud does not answer, or else the cloud's.
func (c *Catalog) Learn(ctx context.Context, store Store, cloud Cloud, log *slog.Logger) {
	const retryInterval = 500 * micros.Millisecond
	for c.Types() == nil {
		types, err := read(ctx, store, cloud)
		if err == nil && len(types) > 0 {
			c.types.CompareAndSwap(nil, &types) // unless a term that began meanwhile has set newer ones
			return
		}
		log.Debug("machine types are not known yet", "error", err)
		if !routine.Sleep(ctx, retryInterval) {
			return
		}
	}
}

func read(ctx context.Context, store Store, cloud Cloud) ([]wire.MachineType, error) {
	var types []wire.MachineType
	item, err := store.Get(ctx, state.MachineTypesKey)
	if err == nil && item != nil {
		err = json.Unmarshal(item.Value, &types)
	}
	if err != nil || len(types) == 0 {
		return cloud.MachineTypes(ctx)
	}
	return types, nil
}
