// Package machinetypes holds the catalog of machine types that the cloud offers. Each controller has one Catalog:
// LoadInitial fills it at startup, the leader replaces its content when prices change, and the user API, the placer and
// the leader read it. The package writes nothing to the key-value store.
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

// Store reads the machine types that a leader has stored.
type Store interface {
	Get(ctx context.Context, key string) (*wire.KeyValue, error)
}

// Cloud lists the machine types that the cloud provider offers.
type Cloud interface {
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
}

// Catalog holds the known machine types. It is safe for concurrent use.
type Catalog struct {
	types atomic.Pointer[[]wire.MachineType]
}

// Types returns the machine types, or nil while they are unknown. The caller must not modify the slice.
func (c *Catalog) Types() []wire.MachineType {
	if types := c.types.Load(); types != nil {
		return *types
	}
	return nil
}

// Replace sets the machine types. The caller must not modify the slice afterwards.
func (c *Catalog) Replace(types []wire.MachineType) { c.types.Store(&types) }

// LoadInitial retries until the machine types are known or ctx is done. It prefers the types that a leader has stored,
// so that a controller can start while the cloud is unavailable, and otherwise asks the cloud.
func (c *Catalog) LoadInitial(ctx context.Context, store Store, cloud Cloud, log *slog.Logger) {
	const retryInterval = 500 * micros.Millisecond
	for c.Types() == nil {
		types, err := fetchTypes(ctx, store, cloud)
		if err == nil && len(types) > 0 {
			c.types.CompareAndSwap(nil, &types) // keep newer types that a leader's term has set in the meantime
			return
		}
		log.Debug("cannot load machine types; retrying", "error", err)
		if !routine.Sleep(ctx, retryInterval) {
			return
		}
	}
}

func fetchTypes(ctx context.Context, store Store, cloud Cloud) ([]wire.MachineType, error) {
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
