package wire

import "encoding/json"

// KeyValue is an entry of the key-value store.
type KeyValue struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`            // the revision of the entry's last change
	Lease   uint64          `json:"permit,omitempty"` // the lease whose expiry removes the entry; 0 means none
}

// KeyValuePage is one page of the entries whose keys have a given prefix, sorted by key.
type KeyValuePage struct {
	Entries  []KeyValue `json:"entries"`
	More     bool       `json:"truncated"`
	Revision uint64     `json:"ledger"`
}

// Condition requires that a key has the given version. Version 0 requires that the key does not exist.
type Condition struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

// Change is one operation of a transaction. It puts or deletes a key: exactly one of Put and Delete is set to the key.
type Change struct {
	Put    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Transaction is a compare-and-swap operation. If all conditions hold, all changes are applied atomically at one
// revision; otherwise none is applied.
type Transaction struct {
	If   []Condition `json:"when"`
	Then []Change    `json:"then,omitempty"`
}

// TransactionResult is the response to a transaction. FailedKeys lists the keys whose conditions did not hold.
type TransactionResult struct {
	Revision   uint64   `json:"ledger"`
	FailedKeys []string `json:"failed,omitempty"`
}

// StoreLeaseRequest requests a lease from the key-value store.
type StoreLeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// StoreLease is a lease granted by the key-value store. The store removes the keys attached to a lease when the lease
// expires.
type StoreLease struct {
	ID uint64 `json:"permit"`
}

// WatchEvent is a change reported by a watch. It is a put or a deletion: exactly one of Put and Delete is set to the
// key.
type WatchEvent struct {
	Put     string          `json:"set,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	Delete  string          `json:"delete,omitempty"`
	Version uint64          `json:"stamp"`
}

// WatchResponse is the response to a watch request. It contains all changes after the revision from which the watch
// started.
type WatchResponse struct {
	Revision uint64       `json:"ledger"`
	Events   []WatchEvent `json:"log"`
}
