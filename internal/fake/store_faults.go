package fake

import (
	"slices"
	"strings"
	"time"

	"saffronbend/wire"
)

// storeFaults are the faults that are injected into a store. The store's lock guards them.
type storeFaults struct {
	outage       bool
	refusedHosts map[string]bool
	delayed      transactionFault // applied late, their responses lost
	delay        time.Duration
	unanswered   transactionFault // applied, their responses lost
	watchDelay   time.Duration
}

// transactionFault is a fault of the next transactions that change a key with a prefix.
type transactionFault struct {
	prefix    string
	remaining int
}

// takes reports whether the fault is about a transaction, and counts it if so.
func (f *transactionFault) takes(transaction wire.Transaction) bool {
	changesPrefix := func(change wire.Change) bool {
		return strings.HasPrefix(change.Put, f.prefix) || strings.HasPrefix(change.Delete, f.prefix)
	}
	if f.remaining <= 0 || !slices.ContainsFunc(transaction.Then, changesPrefix) {
		return false
	}
	f.remaining--
	return true
}

// SetOutage begins or ends an outage. After one, every lease has its full time again.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.outage = on
	for _, lease := range s.leases {
		if on {
			lease.expiry.Stop()
		} else {
			lease.expiry.Reset(lease.ttl)
		}
	}
	s.notifyChanged()
}

// SetWatchDelay sets by how much the responses of watches are late.
func (s *Store) SetWatchDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchDelay = delay
}

// RefuseHost begins or ends refusing the requests of one host, as in an outage.
func (s *Store) RefuseHost(ip string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.refusedHosts[ip] = on
	s.notifyChanged()
}

// DelayTransactions delays the next transactions that change a key with the prefix: each is applied after the given
// time, if its conditions hold then, and its response is lost.
func (s *Store) DelayTransactions(prefix string, after time.Duration, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delayed, s.faults.delay = transactionFault{prefix: prefix, remaining: times}, after
}

// LoseResponses loses the responses to the next transactions that change a key with the prefix; they are applied.
func (s *Store) LoseResponses(prefix string, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.unanswered = transactionFault{prefix: prefix, remaining: times}
}

// unavailable reports whether requests of a host are refused now.
func (s *Store) unavailable(ip string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.outage || s.faults.refusedHosts[ip]
}
