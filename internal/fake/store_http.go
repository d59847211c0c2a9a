package fake

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"saffronbend/wire"
)

const (
	// maxStorePage is the maximum number of entries in a page. It is also the default.
	maxStorePage = 1000
	// minLeaseTTLMillis is the minimum time to live of a lease, in milliseconds.
	minLeaseTTLMillis = 100
)

// Error texts that are used in the responses to several kinds of requests.
const (
	messageMalformed = "malformed"
	messageNoLease   = "no such lease"
	messageNoPath    = "no such path"
)

// ServeHTTP serves the store's part of the protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// SplitHostPort does not fail, since remote addresses have a port on in-memory and on loopback networks alike. If it
	// failed, the IP address would be empty, and faults that RefuseHost injects would not affect the request.
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	if s.unavailable(ip) {
		writeJSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "outage"})
		return
	}
	switch {
	case r.URL.Path == "/txn":
		s.serveTransaction(w, r)
	case r.URL.Path == "/watch":
		s.serveWatch(w, r, ip)
	case r.URL.Path == "/kv":
		s.serveList(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		s.serveKey(w, strings.TrimPrefix(r.URL.Path, "/kv/"))
	case strings.HasPrefix(r.URL.Path, "/grants"):
		s.serveLeases(w, r)
	default:
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: messageNoPath})
	}
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry, ok := s.entries[key]; ok {
		writeJSON(w, http.StatusOK, entry)
		return
	}
	// Of the fields of TransactionResult, the body contains only the current revision.
	writeJSON(w, http.StatusNotFound, wire.TransactionResult{Revision: s.revision})
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	size, err := strconv.Atoi(query.Get("page"))
	if err != nil || size <= 0 || size > maxStorePage {
		size = maxStorePage
	}
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("from") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := wire.KeyValuePage{Entries: []wire.KeyValue{}, Revision: s.revision, More: len(keys) > size}
	for _, key := range keys[:min(size, len(keys))] {
		page.Entries = append(page.Entries, s.entries[key])
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var transaction wire.Transaction
	if json.NewDecoder(r.Body).Decode(&transaction) != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: messageMalformed})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// consume reports whether the fault affects this transaction.
	if s.faults.delayedTransactions.consume(transaction) {
		time.AfterFunc(s.faults.transactionDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(transaction)
		})
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	if status := s.checkLimits(transaction); status != 0 {
		writeJSON(w, status, wire.ErrorResponse{Error: "beyond the limits"})
		return
	}
	status, body := s.apply(transaction)
	if s.faults.lostResponses.consume(transaction) {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	writeJSON(w, status, body)
}

// serveLeases grants a lease or, if the path has the ID of a lease, renews it.
func (s *Store) serveLeases(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var request wire.StoreLeaseRequest
		if json.NewDecoder(r.Body).Decode(&request) != nil || request.TTLMillis < minLeaseTTLMillis {
			writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: messageMalformed})
			return
		}
		id := s.grantLease(time.Duration(request.TTLMillis) * time.Millisecond)
		writeJSON(w, http.StatusOK, wire.StoreLease{ID: id})
		return
	}
	id, err := strconv.ParseUint(parts[1], 10, 64)
	lease := s.leases[id]
	if err != nil || lease == nil {
		writeJSON(w, http.StatusNotFound, wire.ErrorResponse{Error: messageNoLease})
		return
	}
	lease.expiry.Reset(lease.ttl) // restarts the timer that expires the lease
	writeJSON(w, http.StatusOK, wire.StoreLease{ID: id})
}

// serveWatch waits for events, for as long as the request asks for. An outage does not end a watch that is already
// open: the watch responds only when the outage is over, even if its time is up before.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, ip string) {
	query := r.URL.Query()
	// Missing and malformed parameters count as 0, which asks for all events without waiting.
	after, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	blockMillis, _ := strconv.Atoi(query.Get("block_ms"))
	timeout := time.NewTimer(time.Duration(blockMillis) * time.Millisecond)
	defer timeout.Stop()
	for timedOut := false; ; {
		response, changed, delay := s.eventsAfter(query.Get("prefix"), after)
		if (len(response.Events) > 0 || timedOut) && !s.unavailable(ip) {
			time.Sleep(delay)
			writeJSON(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns three values: the events on keys with the given prefix whose revisions are higher than after, a
// channel that is closed when there may be more events, and the delay before the response is sent.
func (s *Store) eventsAfter(prefix string, after uint64) (
	response wire.WatchResponse, changed chan struct{}, delay time.Duration,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response = wire.WatchResponse{Revision: s.revision, Events: []wire.WatchEvent{}}
	for _, event := range s.events {
		// Either Put or Delete has the event's key; the other is empty.
		if event.Version > after && strings.HasPrefix(event.Put+event.Delete, prefix) {
			response.Events = append(response.Events, event)
		}
	}
	return response, s.changed, s.faults.watchDelay
}

// writeJSON writes a response. It ignores errors, since they mean that the client has disconnected.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
