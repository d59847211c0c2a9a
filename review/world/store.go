package world

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"saffronbend/wire"
)

const (
	maxPageItems = 1000
	maxPageBytes = 512 << 10
	keptChanges  = 10_000
	maxBlock     = 60_000 * time.Millisecond
	minLease     = 100 * time.Millisecond
	maxLease     = 600 * time.Second
	maxTxnBytes  = 64 << 10
)

// StoreLimits are the limits of the state service, as in the settings.
type StoreLimits struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
}

// TxnFault decides what happens to a transaction of a controller: nil serves it. Otherwise the connection is closed
// without a response, and the returned function is called, which may apply the transaction.
type TxnFault func(from string, txn wire.Transaction) func(apply func())

// Store is the state service. It is safe for concurrent use.
type Store struct {
	record *Record
	limits StoreLimits

	mu       sync.Mutex
	entries  map[string]wire.KeyValue
	revision uint64
	changes  []wire.WatchEvent
	dropped  uint64 // revision of the newest change that is no longer kept
	leases   map[uint64]*storeLease
	lastID   uint64
	changed  chan struct{}
	refused  map[string]bool
	outage   bool
	requests bucket
	writes   bucket
	fault    TxnFault
}

type storeLease struct {
	life  time.Duration
	until time.Time
}

// bucket allows a rate, in bursts of a given size.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func newBucket(rate, seconds float64) bucket {
	return bucket{rate: rate, burst: rate * seconds, tokens: rate * seconds, at: time.Now()}
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// NewStore returns an empty store.
func NewStore(record *Record, limits StoreLimits) *Store {
	s := &Store{
		record: record, limits: limits, entries: map[string]wire.KeyValue{}, leases: map[uint64]*storeLease{},
		changed: make(chan struct{}), refused: map[string]bool{},
		requests: newBucket(limits.RPS, 1), writes: newBucket(limits.WriteRPS, 1),
	}
	go s.expireLeases()
	return s
}

// Serve serves a controller on a listener of its own, so that the store knows who sends a request.
func (s *Store) Serve(listener net.Listener, from string) {
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, from) }),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(listener) }()
}

// Refuse sets whether the store refuses a controller.
func (s *Store) Refuse(from string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[from] = refuse
	s.wake()
}

// SetOutage begins or ends an outage. Afterwards every lease has its full time again.
func (s *Store) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	for _, lease := range s.leases {
		lease.until = time.Now().Add(lease.life)
	}
	s.wake()
}

// SetFault sets what happens to transactions; nil serves all.
func (s *Store) SetFault(fault TxnFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Get returns a stored value, nil if the key does not exist.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key].Value
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expireLeases() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		for id, lease := range s.leases {
			if !s.outage && time.Now().After(lease.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var attached []wire.Change
	for key, entry := range s.entries {
		if entry.Lease == id {
			attached = append(attached, wire.Change{Delete: key})
		}
	}
	if len(attached) > 0 {
		s.record.Add("store: lease %d ends, its keys are removed: %d", id, len(attached))
		s.applyChanges(attached)
	}
}

func (s *Store) applyChanges(changes []wire.Change) {
	s.revision++
	for _, change := range changes {
		event := wire.WatchEvent{Put: change.Put, Value: change.Value, Delete: change.Delete, Version: s.revision}
		if change.Delete != "" {
			if _, ok := s.entries[change.Delete]; !ok {
				continue
			}
			delete(s.entries, change.Delete)
		} else {
			s.entries[change.Put] = wire.KeyValue{Key: change.Put, Value: change.Value, Version: s.revision,
				Lease: change.Lease}
		}
		s.changes = append(s.changes, event)
	}
	if excess := len(s.changes) - keptChanges; excess > 0 {
		s.dropped = s.changes[excess-1].Version
		s.changes = s.changes[excess:]
	}
	s.wake()
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || s.refused[from] {
		answer(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
		return
	}
	if !s.requests.take(1) {
		answer(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "too many requests"})
		return
	}
	path := r.URL.Path
	switch {
	case path == "/txn" && r.Method == http.MethodPost:
		s.txn(w, r, from)
	case path == "/watch":
		s.watch(w, r, from)
	case path == "/kv":
		s.list(w, r)
	case strings.HasPrefix(path, "/kv/"):
		s.get(w, strings.TrimPrefix(path, "/kv/"))
	case strings.HasPrefix(path, "/grants"):
		s.grants(w, r)
	default:
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
	}
}

func (s *Store) get(w http.ResponseWriter, key string) {
	if entry, ok := s.entries[key]; ok {
		answer(w, http.StatusOK, entry)
		return
	}
	answer(w, http.StatusNotFound, wire.TransactionResult{Revision: s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	size, err := strconv.Atoi(query.Get("page"))
	if err != nil || size < 1 || size > maxPageItems {
		size = maxPageItems
	}
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("from") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := wire.KeyValuePage{Entries: []wire.KeyValue{}, Revision: s.revision}
	bytes := 0
	for _, key := range keys {
		bytes += len(s.entries[key].Value) + len(key) + 40
		if len(page.Entries) == size || bytes > maxPageBytes {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, s.entries[key])
	}
	answer(w, http.StatusOK, page)
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request, from string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTxnBytes+1))
	var txn wire.Transaction
	if err != nil || len(body) > maxTxnBytes || json.Unmarshal(body, &txn) != nil || !s.withinLimits(txn) {
		s.record.Add("store: %s txn refused: malformed or too large", from)
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	if !s.writes.take(float64(len(txn.Then))) {
		answer(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "too many changes"})
		return
	}
	if s.fault != nil {
		if late := s.fault(from, txn); late != nil {
			go late(func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				status, _ := s.apply(txn)
				s.record.Add("store: late txn of %s on %s: %d", from, txnKeys(txn), status)
			})
			panic(http.ErrAbortHandler)
		}
	}
	status, result := s.apply(txn)
	s.record.Add("store: %s txn on %s: %d", from, txnKeys(txn), status)
	answer(w, status, result)
}

func txnKeys(txn wire.Transaction) string {
	var keys []string
	for _, change := range txn.Then {
		if change.Delete != "" {
			keys = append(keys, "-"+change.Delete)
		} else {
			keys = append(keys, change.Put)
		}
	}
	return strings.Join(keys, " ")
}

func (s *Store) withinLimits(txn wire.Transaction) bool {
	if len(txn.Then) > s.limits.TxnOps || len(txn.If) > 4*s.limits.TxnOps {
		return false
	}
	return !slices.ContainsFunc(txn.Then, func(change wire.Change) bool {
		return float64(len(change.Value)) > s.limits.ValueKB*1024
	})
}

func (s *Store) apply(txn wire.Transaction) (status int, result any) {
	for _, change := range txn.Then {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			return http.StatusBadRequest, wire.ErrorResponse{Error: "no such lease"}
		}
	}
	var failed []string
	for _, condition := range txn.If {
		if s.entries[condition.Key].Version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TransactionResult{Revision: s.revision, FailedKeys: failed}
	}
	if len(txn.Then) > 0 {
		s.applyChanges(txn.Then)
	}
	return http.StatusOK, wire.TransactionResult{Revision: s.revision}
}

func (s *Store) grants(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var request wire.StoreLeaseRequest
		err := json.NewDecoder(r.Body).Decode(&request)
		life := time.Duration(request.TTLMillis) * time.Millisecond
		if err != nil || life < minLease || life > maxLease {
			answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
			return
		}
		s.lastID++
		s.leases[s.lastID] = &storeLease{life: life, until: time.Now().Add(life)}
		answer(w, http.StatusOK, wire.StoreLease{ID: s.lastID})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64) // 0 is no lease
	lease := s.leases[id]
	switch {
	case lease == nil:
		answer(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such lease"})
	case r.Method == http.MethodDelete:
		s.endLease(id)
		answer(w, http.StatusOK, struct{}{})
	default:
		lease.until = time.Now().Add(lease.life)
		answer(w, http.StatusOK, wire.StoreLease{ID: id})
	}
}

// watch waits for changes. It is called with the lock held, and releases it while it waits.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, from string) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("from"), 10, 64)
	blockMS, _ := strconv.Atoi(query.Get("block_ms")) // 0 by default
	block := time.Duration(blockMS) * time.Millisecond
	if err != nil || block > maxBlock {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	timer := time.NewTimer(block)
	defer timer.Stop()
	for over := block == 0; ; {
		if after < s.dropped {
			answer(w, http.StatusGone, wire.ErrorResponse{Error: "too old"})
			return
		}
		response := wire.WatchResponse{Revision: s.revision, Events: []wire.WatchEvent{}}
		for _, change := range s.changes {
			if change.Version > after && strings.HasPrefix(change.Put+change.Delete, query.Get("prefix")) {
				response.Events = append(response.Events, change)
			}
		}
		if (over || len(response.Events) > 0) && !s.outage && !s.refused[from] {
			answer(w, http.StatusOK, response)
			return
		}
		ended := false
		if over, ended = s.awaitChange(r, timer, over); ended {
			return
		}
	}
}

// awaitChange releases the lock and waits for a change, the timer, or the end of the request.
func (s *Store) awaitChange(r *http.Request, timer *time.Timer, wasOver bool) (over, ended bool) {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-changed:
		return wasOver, false
	case <-timer.C:
		return true, false
	case <-r.Context().Done():
		return wasOver, true
	}
}

// answer writes a response. An error means that the client has gone.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
