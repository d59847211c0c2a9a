package fake

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"saffronbend/wire"
)

// Store is a fake of the consensus-backed key-value store. It never loses an applied transaction. It serves the store's
// part of the protocol (ServeHTTP); the methods that inject faults are in store_faults.go.
type Store struct {
	mu        sync.Mutex
	entries   map[string]wire.KeyValue // stored entries by key
	revision  uint64
	events    []wire.WatchEvent // all changes, in order
	leases    map[uint64]*storeLease
	lastLease uint64
	changed   chan struct{} // closed and replaced when waiting watches have to check for events
	faults    storeFaults

	limits           StoreLimits
	writeTokens      float64 // changes that are allowed now, by WriteRPS
	tokensUpdatedAt  time.Time
	rejectedTooLarge int // transactions that were rejected because they were too large
}

// storeLease is a lease that has been granted and has not expired.
type storeLease struct {
	ttl    time.Duration
	expiry *time.Timer
}

// StoreLimits are the limits of transactions. A limit of 0 means no limit.
type StoreLimits struct {
	// ValueBytes limits the size of each value, Operations the number of changes in a transaction.
	ValueBytes, Operations int
	// WriteRPS limits the changes per second. Bursts may have as many changes as one second allows.
	WriteRPS float64
}

// conditionsPerOperation is how many conditions a transaction may have for each change that StoreLimits.Operations
// allows.
const conditionsPerOperation = 4

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		entries: map[string]wire.KeyValue{},
		leases:  map[uint64]*storeLease{},
		changed: make(chan struct{}),
		faults:  storeFaults{refusedHosts: map[string]bool{}},
	}
}

// SetLimits sets the limits of further transactions. It does not affect stored entries.
func (s *Store) SetLimits(limits StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits, s.writeTokens, s.tokensUpdatedAt = limits, limits.WriteRPS, time.Now()
}

// RejectedTooLarge returns how many transactions were rejected because they were too large.
func (s *Store) RejectedTooLarge() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectedTooLarge
}

// Put applies changes in one transaction, regardless of the limits. Tests use it for entries that earlier processes
// have stored.
func (s *Store) Put(changes []wire.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(wire.Transaction{Then: changes})
}

// Get returns the entry of a key, or false if there is none.
func (s *Store) Get(key string) (wire.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	return entry, ok
}

// CountKeys returns the number of keys with a prefix.
func (s *Store) CountKeys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// apply applies a transaction if its conditions hold, and returns the status and the body of the response. The caller
// holds the lock.
func (s *Store) apply(transaction wire.Transaction) (status int, body any) {
	for _, change := range transaction.Then {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			return http.StatusBadRequest, wire.ErrorResponse{Error: messageNoLease}
		}
	}
	var result wire.TransactionResult
	for _, condition := range transaction.If {
		if s.entries[condition.Key].Version != condition.Version {
			result.FailedKeys = append(result.FailedKeys, condition.Key)
		}
	}
	if len(result.FailedKeys) > 0 {
		result.Revision = s.revision
		return http.StatusConflict, result
	}
	if len(transaction.Then) > 0 {
		s.revision++
	}
	for _, change := range transaction.Then {
		s.applyChange(change)
	}
	s.notifyChanged()
	result.Revision = s.revision
	return http.StatusOK, result
}

// applyChange applies one change at the current revision. The caller holds the lock.
func (s *Store) applyChange(change wire.Change) {
	if change.Delete != "" {
		s.remove(change.Delete)
		return
	}
	s.entries[change.Put] = wire.KeyValue{Key: change.Put, Value: change.Value, Version: s.revision, Lease: change.Lease}
	s.events = append(s.events, wire.WatchEvent{Put: change.Put, Value: change.Value, Version: s.revision})
}

// remove deletes a key at the current revision, if the key exists. The caller holds the lock.
func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; ok {
		delete(s.entries, key)
		s.events = append(s.events, wire.WatchEvent{Delete: key, Version: s.revision})
	}
}

// checkLimits returns the status with which a transaction that exceeds the limits is rejected. If the transaction is
// within the limits, it counts the transaction's changes against the write rate and returns 0. The caller holds the
// lock.
func (s *Store) checkLimits(transaction wire.Transaction) int {
	limits := s.limits
	tooLarge := slices.ContainsFunc(transaction.Then, func(change wire.Change) bool {
		return limits.ValueBytes > 0 && len(change.Value) > limits.ValueBytes
	})
	tooManyOperations := limits.Operations > 0 && (len(transaction.Then) > limits.Operations ||
		len(transaction.If) > conditionsPerOperation*limits.Operations)
	if tooLarge || tooManyOperations {
		s.rejectedTooLarge++
		return http.StatusBadRequest
	}
	if limits.WriteRPS > 0 && !s.takeWriteTokens(float64(len(transaction.Then))) {
		return http.StatusTooManyRequests
	}
	return 0
}

// takeWriteTokens reports whether the write rate allows the given number of changes now, and counts them if so. The
// caller holds the lock.
func (s *Store) takeWriteTokens(changes float64) bool {
	now := time.Now()
	rate := s.limits.WriteRPS
	s.writeTokens = min(rate, s.writeTokens+rate*now.Sub(s.tokensUpdatedAt).Seconds())
	s.tokensUpdatedAt = now
	if s.writeTokens < changes {
		return false
	}
	s.writeTokens -= changes
	return true
}

// grantLease grants a lease and returns its ID. The caller holds the lock.
func (s *Store) grantLease(ttl time.Duration) uint64 {
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &storeLease{ttl: ttl, expiry: time.AfterFunc(ttl, func() { s.expireLease(id) })}
	return id
}

// expireLease deletes a lease and its keys. It does nothing during an outage, since each lease is renewed when the
// outage ends.
func (s *Store) expireLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.outage || s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if s.entries[key].Lease == id {
			s.remove(key)
		}
	}
	s.notifyChanged()
}

// notifyChanged wakes the waiting watches. The caller holds the lock.
func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}
