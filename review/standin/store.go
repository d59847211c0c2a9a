package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"saffronbend/wire"
)

const (
	storePage     = 1000
	maxValueBytes = 8 << 10
	maxTxnOps     = 32
)

// Store is a key-value store that serves the protocol's part of the state service, without limits on the rate. It keeps
// all changes.
type Store struct {
	mu       sync.Mutex
	entries  map[string]wire.KeyValue
	revision uint64
	log      []wire.WatchEvent
	grants   map[uint64]*grant
	last     uint64 // the last grant
	changed  chan struct{}
}

type grant struct {
	life  time.Duration
	timer *time.Timer
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: map[string]wire.KeyValue{}, grants: map[uint64]*grant{}, changed: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == "/txn":
		s.serveTxn(w, r)
	case path == "/watch":
		s.serveWatch(w, r)
	case path == "/kv":
		s.serveList(w, r)
	case strings.HasPrefix(path, "/kv/"):
		s.serveGet(w, strings.TrimPrefix(path, "/kv/"))
	case strings.HasPrefix(path, "/grants"):
		s.serveGrants(w, r)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry, ok := s.entries[key]; ok {
		writeJSON(w, http.StatusOK, entry)
		return
	}
	writeJSON(w, http.StatusNotFound, wire.TransactionResult{Revision: s.revision})
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("from") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	size, err := strconv.Atoi(query.Get("page"))
	if err != nil || size < 1 || size > storePage {
		size = storePage
	}
	page := wire.KeyValuePage{Entries: []wire.KeyValue{}, Revision: s.revision, More: len(keys) > size}
	for _, key := range keys[:min(size, len(keys))] {
		page.Entries = append(page.Entries, s.entries[key])
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn wire.Transaction
	malformed := json.NewDecoder(r.Body).Decode(&txn) != nil || len(txn.Then) > maxTxnOps || len(txn.If) > 4*maxTxnOps
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range txn.Then {
		if change.Lease != 0 && s.grants[change.Lease] == nil {
			writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "no such lease"})
			return
		}
		malformed = malformed || len(change.Value) > maxValueBytes
	}
	if malformed {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	var failed []string
	for _, condition := range txn.If {
		if s.entries[condition.Key].Version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		writeJSON(w, http.StatusConflict, wire.TransactionResult{Revision: s.revision, FailedKeys: failed})
		return
	}
	s.apply(txn.Then)
	writeJSON(w, http.StatusOK, wire.TransactionResult{Revision: s.revision})
}

// apply applies changes at one new revision. The caller holds the lock.
func (s *Store) apply(changes []wire.Change) {
	if len(changes) == 0 {
		return
	}
	s.revision++
	for _, change := range changes {
		if change.Put != "" {
			s.entries[change.Put] = wire.KeyValue{
				Key: change.Put, Value: change.Value, Version: s.revision, Lease: change.Lease,
			}
			s.log = append(s.log, wire.WatchEvent{Put: change.Put, Value: change.Value, Version: s.revision})
		} else if _, exists := s.entries[change.Delete]; exists {
			delete(s.entries, change.Delete)
			s.log = append(s.log, wire.WatchEvent{Delete: change.Delete, Version: s.revision})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	// Missing parameters count as 0.
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	block, _ := strconv.Atoi(query.Get("block_ms"))
	timeout := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer timeout.Stop()
	for ended := false; ; {
		response, changed := s.changesAfter(query.Get("prefix"), from)
		if ended || len(response.Events) > 0 {
			writeJSON(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) changesAfter(prefix string, from uint64) (wire.WatchResponse, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := wire.WatchResponse{Revision: s.revision, Events: []wire.WatchEvent{}}
	for _, event := range s.log {
		if event.Version > from && strings.HasPrefix(event.Put+event.Delete, prefix) {
			response.Events = append(response.Events, event)
		}
	}
	return response, s.changed
}

func (s *Store) serveGrants(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, action, _ := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, "/grants"), "/"), "/")
	number, _ := strconv.ParseUint(id, 10, 64) // 0 is no grant
	switch {
	case r.Method == http.MethodPost && id == "":
		var request wire.StoreLeaseRequest
		if json.NewDecoder(r.Body).Decode(&request) != nil || request.TTLMillis < 100 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.last++
		number = s.last
		life := time.Duration(request.TTLMillis) * time.Millisecond
		s.grants[number] = &grant{life: life, timer: time.AfterFunc(life, func() { s.expire(number) })}
		writeJSON(w, http.StatusOK, wire.StoreLease{ID: number})
	case s.grants[number] == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPost && action == "renew":
		s.grants[number].timer.Reset(s.grants[number].life)
		writeJSON(w, http.StatusOK, wire.StoreLease{ID: number})
	case r.Method == http.MethodDelete:
		s.grants[number].timer.Reset(0)
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// expire ends a grant and removes its keys.
func (s *Store) expire(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grants[number] == nil {
		return
	}
	delete(s.grants, number)
	var changes []wire.Change
	for key, entry := range s.entries {
		if entry.Lease == number {
			changes = append(changes, wire.Change{Delete: key})
		}
	}
	s.apply(changes)
}
