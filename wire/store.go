package wire

import "encoding/json"

// KeyValue is a key of the key-value store.
type KeyValue struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`            // the revision of its last change
	Lease   uint64          `json:"permit,omitempty"` // with which the key is removed; 0: none
}

// KeyValuePage is a page of keys with a prefix, in their order.
type KeyValuePage struct {
	Entries  []KeyValue `json:"entries"`
	More     bool       `json:"truncated"`
	Revision uint64     `json:"ledger"`
}

// Condition demands that a key has a version. 0: that it does not exist.
type Condition struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

// Change puts or deletes a key, whichever of the two is named.
type Change struct {
	Put    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Transaction is a compare-and-swap: if all conditions hold, all changes are made at one revision, else none is.
type Transaction struct {
	If   []Condition `json:"when"`
	Then []Change    `json:"then,omitempty"`
}

// TransactionResult answers a transaction; FailedKeys are those of the conditions that did not hold.
type TransactionResult struct {
	Revision   uint64   `json:"ledger"`
	FailedKeys []string `json:"failed,omitempty"`
}

// StoreLeaseRequest asks for a lease of the key-value store.
type StoreLeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// StoreLease is a lease of the key-value store. Keys attached to it are removed when it expires.
type StoreLease struct {
	ID uint64 `json:"permit"`
}

// WatchEvent is a change that a watch reports: a put or a deletion, whichever of the two is named.
type WatchEvent struct {
	Put     string          `json:"set,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	Delete  string          `json:"delete,omitempty"`
	Version uint64          `json:"stamp"`
}

// WatchResponse answers a watch with all changes after the revision that it was opened at.
type WatchResponse struct {
	Revision uint64       `json:"ledger"`
	Events   []WatchEvent `json:"log"`
}
