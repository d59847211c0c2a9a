package fake

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"saffronbend/wire"
)

// State is a state service.
type Store struct {
	mu       sync.Mutex
	items    map[string]wire.KeyValue
	revision uint64
	leases   map[uint64]*time.Timer
	lives    map[uint64]time.Duration
	nextID   uint64
	log      []wire.WatchEvent
	change   chan struct{}
	outage   bool
	refused  map[string]bool
	lateFor  time.Duration // the next transactions that change a key with this prefix
	late     string        // are applied this much later, and their answers are lost
	lost     string        // the next such transactions are applied, their answers lost
	lateLeft int
	lostLeft int
	limits   StoreLimits
	tokens   float64 // changes that may be made at once
	filled   time.Time
	refusals int
	watchLag time.Duration
}

// StateLimits bounds changes; 0: not at all.
type StoreLimits struct {
	ValueBytes, Operations int
	WriteRPS               float64
}

// NewState makes an empty service.
func NewStore() *Store {
	return &Store{items: map[string]wire.KeyValue{}, leases: map[uint64]*time.Timer{}, lives: map[uint64]time.Duration{},
		change: make(chan struct{}), refused: map[string]bool{}}
}

// Outage begins or ends an outage; after one, every lease has its full time again.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for id, t := range s.leases {
		if on {
			t.Stop()
		} else {
			t.Reset(s.lives[id])
		}
	}
	s.signal()
}

// WatchesLag sets by how much the answers of watches come late.
func (s *Store) SetWatchDelay(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchLag = lag
}

// Refuse begins or ends refusing one host.
func (s *Store) RefuseHost(ip string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[ip] = on
	s.signal()
}

// Late holds the next transactions that change a key with the prefix back: they are
// applied after the time given, if their conditions hold then; their answers are lost.
func (s *Store) DelayTransactions(prefix string, after time.Duration, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late, s.lateFor, s.lateLeft = prefix, after, times
}

// LoseAnswer has the next transactions that change a key with the prefix carried out
// without an answer.
func (s *Store) LoseResponses(prefix string, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost, s.lostLeft = prefix, times
}

// Limit sets the limits. What is stored stays as it is.
func (s *Store) SetLimits(l StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits, s.tokens, s.filled = l, l.WriteRPS, time.Now()
}

// Refusals gives the number of transactions refused because they were too large.
func (s *Store) RejectedTooLarge() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals
}

// Put stores records as a process that is no more has left them, in one transaction.
func (s *Store) Put(changes []wire.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(wire.Transaction{Then: changes})
}

// beyond gives the status by which a transaction beyond the limits is refused, or 0.
func (s *Store) beyond(t wire.Transaction) int {
	l := s.limits
	large := slices.ContainsFunc(t.Then, func(c wire.Change) bool { return l.ValueBytes > 0 && len(c.Value) > l.ValueBytes })
	if large || l.Operations > 0 && (len(t.Then) > l.Operations || len(t.If) > 4*l.Operations) {
		s.refusals++
		return http.StatusBadRequest
	}
	if l.WriteRPS > 0 {
		now := time.Now()
		s.tokens = min(l.WriteRPS, s.tokens+l.WriteRPS*now.Sub(s.filled).Seconds())
		s.filled = now
		if s.tokens < float64(len(t.Then)) {
			return http.StatusTooManyRequests
		}
		s.tokens -= float64(len(t.Then))
	}
	return 0
}

// Count gives the number of keys with a prefix.
func (s *Store) CountKeys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

func (s *Store) signal() {
	close(s.change)
	s.change = make(chan struct{})
}

func (s *Store) unavailable(ip string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage || s.refused[ip]
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP serves the protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	if s.unavailable(ip) {
		reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "outage"})
		return
	}
	switch {
	case r.URL.Path == "/txn":
		s.txn(w, r)
	case r.URL.Path == "/watch":
		s.watch(w, r, ip)
	case r.URL.Path == "/kv":
		s.list(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		s.serveKey(w, strings.TrimPrefix(r.URL.Path, "/kv/"))
	case strings.HasPrefix(r.URL.Path, "/grants"):
		s.grants(w, r)
	default:
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "no such path"})
	}
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it, ok := s.items[key]; ok {
		reply(w, http.StatusOK, it)
		return
	}
	reply(w, http.StatusNotFound, wire.TransactionResult{Revision: s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	page, _ := strconv.Atoi(q.Get("page"))
	if page <= 0 || page > 1000 {
		page = 1000
	}
	l := wire.KeyValuePage{Entries: []wire.KeyValue{}, Revision: s.revision}
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("from") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for i, k := range keys {
		if i == page {
			l.More = true
			break
		}
		l.Entries = append(l.Entries, s.items[k])
	}
	reply(w, http.StatusOK, l)
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t wire.Transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	touches := func(prefix string) bool {
		return slices.ContainsFunc(t.Then, func(c wire.Change) bool {
			return strings.HasPrefix(c.Put, prefix) || strings.HasPrefix(c.Delete, prefix)
		})
	}
	if s.lateLeft > 0 && touches(s.late) {
		s.lateLeft--
		time.AfterFunc(s.lateFor, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(t)
		})
		panic(http.ErrAbortHandler) // the answer is lost
	}
	if code := s.beyond(t); code != 0 {
		reply(w, code, wire.ErrorResponse{Error: "beyond the limits"})
		return
	}
	code, body := s.apply(t)
	if s.lostLeft > 0 && touches(s.lost) {
		s.lostLeft--
		panic(http.ErrAbortHandler)
	}
	reply(w, code, body)
}

func (s *Store) apply(t wire.Transaction) (int, any) {
	for _, c := range t.Then {
		if _, ok := s.leases[c.Lease]; c.Lease != 0 && !ok {
			return http.StatusBadRequest, wire.ErrorResponse{Error: "no such lease"}
		}
	}
	res := wire.TransactionResult{}
	for _, c := range t.If {
		if s.items[c.Key].Version != c.Version {
			res.FailedKeys = append(res.FailedKeys, c.Key)
		}
	}
	if len(res.FailedKeys) > 0 {
		res.Revision = s.revision
		return http.StatusConflict, res
	}
	if len(t.Then) > 0 {
		s.revision++
	}
	for _, c := range t.Then {
		if c.Delete != "" {
			s.remove(c.Delete)
			continue
		}
		s.items[c.Put] = wire.KeyValue{Key: c.Put, Value: c.Value, Version: s.revision, Lease: c.Lease}
		s.log = append(s.log, wire.WatchEvent{Put: c.Put, Value: c.Value, Version: s.revision})
	}
	s.signal()
	res.Revision = s.revision
	return http.StatusOK, res
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.log = append(s.log, wire.WatchEvent{Delete: key, Version: s.revision})
	}
}

func (s *Store) grants(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var ask wire.StoreLeaseRequest
		if json.NewDecoder(r.Body).Decode(&ask) != nil || ask.TTLMillis < 100 {
			reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
			return
		}
		s.nextID++
		id := s.nextID
		s.lives[id] = time.Duration(ask.TTLMillis) * time.Millisecond
		s.leases[id] = time.AfterFunc(s.lives[id], func() { s.expire(id) })
		reply(w, http.StatusOK, wire.StoreLease{ID: id})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	t := s.leases[id]
	if t == nil {
		reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such lease"})
		return
	}
	t.Reset(s.lives[id])
	reply(w, http.StatusOK, wire.StoreLease{ID: id})
}

func (s *Store) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	s.revision++
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[k].Lease == id {
			s.remove(k)
		}
	}
	s.signal()
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, ip string) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.Atoi(q.Get("block_ms"))
	end := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		res, change, lag := s.since(q.Get("prefix"), from)
		// During an outage an open watch stays open.
		if (len(res.Events) > 0 || over) && !s.unavailable(ip) {
			time.Sleep(lag)
			reply(w, http.StatusOK, res)
			return
		}
		select {
		case <-change:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(prefix string, from uint64) (wire.WatchResponse, chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := wire.WatchResponse{Revision: s.revision, Events: []wire.WatchEvent{}}
	for _, e := range s.log {
		if e.Version > from && strings.HasPrefix(e.Put+e.Delete, prefix) {
			res.Events = append(res.Events, e)
		}
	}
	return res, s.change, s.watchLag
}

// Item gives a key's item.
func (s *Store) Get(key string) (wire.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}
