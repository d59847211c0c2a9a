package fake

import (
	"slices"
	"strings"
	"time"

	"saffronbend/wire"
)

// storeFaults are the faults that are injected into a store. The store's lock guards its fields.
type storeFaults struct {
	outage              bool
	refusedHosts        map[string]bool  // IP addresses of the hosts whose requests are refused
	delayedTransactions transactionFault // are applied after transactionDelay, without a response
	transactionDelay    time.Duration
	lostResponses       transactionFault // are applied immediately, without a response
	watchDelay          time.Duration    // delay of the responses to watches
}

// transactionFault selects the transactions that a fault affects: the next ones that change a key with a prefix.
type transactionFault struct {
	prefix    string
	remaining int // how many further transactions are affected
}

// consume reports whether the fault affects a transaction, and counts the transaction if so.
func (f *transactionFault) consume(transaction wire.Transaction) bool {
	changesPrefix := func(change wire.Change) bool {
		return strings.HasPrefix(change.Put, f.prefix) || strings.HasPrefix(change.Delete, f.prefix)
	}
	if f.remaining <= 0 || !slices.ContainsFunc(transaction.Then, changesPrefix) {
		return false
	}
	f.remaining--
	return true
}

// SetOutage begins or ends an outage. When an outage ends, every lease is renewed.
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

// SetWatchDelay sets the delay of the responses to watches.
func (s *Store) SetWatchDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchDelay = delay
}

// RefuseHost begins or ends an outage for the requests of one host. It does not affect leases.
func (s *Store) RefuseHost(ip string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.refusedHosts[ip] = on
	s.notifyChanged()
}

// DelayTransactions delays the given number of the next transactions that change a key with the prefix. Each of them is
// applied after the delay, if its conditions hold then, and its response is lost.
func (s *Store) DelayTransactions(prefix string, after time.Duration, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delayedTransactions, s.faults.transactionDelay = transactionFault{prefix: prefix, remaining: times}, after
}

// LoseResponses loses the responses to the given number of the next transactions that change a key with the prefix. The
// transactions are applied.
func (s *Store) LoseResponses(prefix string, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.lostResponses = transactionFault{prefix: prefix, remaining: times}
}

// unavailable reports whether the requests of a host are refused now, by an outage or by RefuseHost.
func (s *Store) unavailable(ip string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.outage || s.faults.refusedHosts[ip]
}
