package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/wire"
)

// sendRequest sends a request to a handler and returns the status, or 0 if the handler aborts without a response. It
// decodes the response into result if that is not nil.
func sendRequest(t *testing.T, handler http.Handler, method, path string, body, result any) (status int) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if recovered := recover(); recovered != nil {
			if recovered != http.ErrAbortHandler { //nolint:errorlint // handlers panic with the unwrapped error
				panic(recovered)
			}
			status = 0
		}
	}()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(string(data))))
	if result != nil {
		if err := json.Unmarshal(recorder.Body.Bytes(), result); err != nil {
			t.Fatal(err)
		}
	}
	return recorder.Code
}

// putTransaction returns an unconditional transaction that stores a value under each of the keys.
func putTransaction(keys ...string) wire.Transaction {
	var transaction wire.Transaction
	for _, key := range keys {
		transaction.Then = append(transaction.Then, wire.Change{Put: key, Value: json.RawMessage(`"value"`)})
	}
	return transaction
}

func transact(t *testing.T, store *Store, transaction wire.Transaction) int {
	t.Helper()
	return sendRequest(t, store, http.MethodPost, "/txn", transaction, nil)
}

// TestStoreChecksConditions checks that a transaction is applied only if the keys have the versions that its conditions
// require.
func TestStoreChecksConditions(t *testing.T) {
	store := NewStore()
	conditional := putTransaction("a")
	conditional.If = []wire.Condition{{Key: "a", Version: 0}}
	if status := transact(t, store, conditional); status != http.StatusOK {
		t.Errorf("first transaction: status %d, want %d", status, http.StatusOK)
	}
	var result wire.TransactionResult
	if status := sendRequest(t, store, http.MethodPost, "/txn", conditional, &result); status != http.StatusConflict {
		t.Errorf("second transaction with the same condition: status %d, want %d", status, http.StatusConflict)
	}
	if len(result.FailedKeys) != 1 || result.FailedKeys[0] != "a" || result.Revision != 1 {
		t.Errorf("second transaction: %+v, want failed key a at revision 1", result)
	}
	conditional.If[0].Version = 1
	if status := transact(t, store, conditional); status != http.StatusOK {
		t.Errorf("transaction with the current version: status %d, want %d", status, http.StatusOK)
	}
}

// TestStoreRejectsTransactionsBeyondLimits checks each limit with the largest transaction that it allows and with one
// that exceeds it. The value that putTransaction stores has 7 bytes, including its quotes. For each change that
// Operations allows, a transaction may have conditionsPerOperation conditions.
func TestStoreRejectsTransactionsBeyondLimits(t *testing.T) {
	for _, c := range []struct {
		name        string
		limits      StoreLimits
		transaction wire.Transaction
		want        int
		tooLarge    int
	}{
		{"no limits", StoreLimits{}, putTransaction("a", "b"), http.StatusOK, 0},
		{"value too large", StoreLimits{ValueBytes: 6}, putTransaction("a"), http.StatusBadRequest, 1},
		{"largest value", StoreLimits{ValueBytes: 7}, putTransaction("a"), http.StatusOK, 0},
		{"too many changes", StoreLimits{Operations: 1}, putTransaction("a", "b"), http.StatusBadRequest, 1},
		{"too many conditions", StoreLimits{Operations: 1}, wire.Transaction{If: make([]wire.Condition, 5)},
			http.StatusBadRequest, 1},
		{"most conditions", StoreLimits{Operations: 1}, wire.Transaction{If: make([]wire.Condition, 4)},
			http.StatusOK, 0},
		{"write rate exceeded", StoreLimits{WriteRPS: 1}, putTransaction("a", "b"), http.StatusTooManyRequests, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := NewStore()
			store.SetLimits(c.limits)
			if status := transact(t, store, c.transaction); status != c.want {
				t.Errorf("status %d, want %d", status, c.want)
			}
			if tooLarge := store.RejectedTooLarge(); tooLarge != c.tooLarge {
				t.Errorf("%d transactions rejected, want %d", tooLarge, c.tooLarge)
			}
		})
	}
}

// TestStoreWriteRateAllowsBurst checks that the limit of changes per second allows a burst of as many changes as one
// second allows, and as many again a second later.
func TestStoreWriteRateAllowsBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		store.SetLimits(StoreLimits{WriteRPS: 2})
		for second := range 3 {
			for i, want := range []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests} {
				if status := transact(t, store, putTransaction("a")); status != want {
					t.Errorf("second %d, change %d: status %d, want %d", second, i, status, want)
				}
			}
			time.Sleep(time.Second)
		}
	})
}

func TestStoreLeaseExpiresUnlessRenewed(t *testing.T) {
	const ttl = 10 * time.Second
	for _, c := range []struct {
		name     string
		run      func(t *testing.T, store *Store, renew func() int)
		wantKept bool
	}{
		{"not renewed", func(*testing.T, *Store, func() int) {
			time.Sleep(ttl + time.Second)
		}, false},
		{"renewed", func(t *testing.T, _ *Store, renew func() int) {
			t.Helper()
			time.Sleep(ttl - time.Second)
			if status := renew(); status != http.StatusOK {
				t.Errorf("renewal: status %d, want %d", status, http.StatusOK)
			}
			time.Sleep(ttl - time.Second)
		}, true},
		{"renewed after its expiry", func(t *testing.T, _ *Store, renew func() int) {
			t.Helper()
			time.Sleep(ttl + time.Second)
			if status := renew(); status != http.StatusNotFound {
				t.Errorf("renewal after the expiry: status %d, want %d", status, http.StatusNotFound)
			}
		}, false},
		{"not renewed, but an outage ended less than a TTL ago", func(t *testing.T, store *Store, renew func() int) {
			t.Helper()
			store.SetOutage(true)
			time.Sleep(2 * ttl)
			if status := renew(); status != http.StatusServiceUnavailable {
				t.Errorf("renewal during the outage: status %d, want %d", status, http.StatusServiceUnavailable)
			}
			store.SetOutage(false)
			time.Sleep(ttl - time.Second)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := NewStore()
				var lease wire.StoreLease
				grant := wire.StoreLeaseRequest{TTLMillis: ttl.Milliseconds()}
				if status := sendRequest(t, store, http.MethodPost, "/grants", grant, &lease); status != http.StatusOK {
					t.Fatalf("grant: status %d, want %d", status, http.StatusOK)
				}
				transaction := putTransaction("a")
				transaction.Then[0].Lease = lease.ID
				transact(t, store, transaction)
				c.run(t, store, func() int {
					return sendRequest(t, store, http.MethodPost, fmt.Sprintf("/grants/%d", lease.ID), nil, nil)
				})
				if _, retained := store.Get("a"); retained != c.wantKept {
					t.Errorf("the lease's key exists: %v, want %v", retained, c.wantKept)
				}
			})
		})
	}
}

// TestStoreTransactionFaults checks that a delayed transaction and one whose response is lost are applied without a
// response, that transactions on other keys are not affected, and that a fault ends after the given number of
// transactions.
func TestStoreTransactionFaults(t *testing.T) {
	const delay = 3 * time.Second
	for _, c := range []struct {
		name               string
		inject             func(store *Store)
		appliedImmediately bool
	}{
		{"delayed", func(store *Store) { store.DelayTransactions("a", delay, 1) }, false},
		{"response lost", func(store *Store) { store.LoseResponses("a", 1) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := NewStore()
				c.inject(store)
				if status := transact(t, store, putTransaction("b")); status != http.StatusOK {
					t.Errorf("transaction on a key with another prefix: status %d, want %d", status, http.StatusOK)
				}
				if status := transact(t, store, putTransaction("a1")); status != 0 {
					t.Errorf("status %d, want no response", status)
				}
				if _, applied := store.Get("a1"); applied != c.appliedImmediately {
					t.Errorf("applied immediately: %v, want %v", applied, c.appliedImmediately)
				}
				time.Sleep(delay + time.Second)
				if _, applied := store.Get("a1"); !applied {
					t.Error("transaction not applied after the delay")
				}
				if status := transact(t, store, putTransaction("a2")); status != http.StatusOK {
					t.Errorf("transaction after the end of the fault: status %d, want %d", status, http.StatusOK)
				}
			})
		})
	}
}

// TestStoreWatchReturnsLaterEvents checks that a watch returns the events on keys with its prefix after its revision,
// and that it returns no events after the time for which it may block.
func TestStoreWatchReturnsLaterEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		transact(t, store, putTransaction("a1"))
		time.AfterFunc(time.Second, func() {
			store.Put(putTransaction("b").Then)
			store.Put(putTransaction("a2").Then)
		})
		var response wire.WatchResponse
		const watchFromRevision1 = "/watch?prefix=a&from=1&block_ms=2000"
		sendRequest(t, store, http.MethodGet, watchFromRevision1, nil, &response)
		if len(response.Events) != 1 || response.Events[0].Put != "a2" || response.Revision != 3 {
			t.Errorf("watch response %+v, want the change of a2 at revision 3", response)
		}
		start := time.Now()
		sendRequest(t, store, http.MethodGet, "/watch?prefix=a&from=3&block_ms=2000", nil, &response)
		if waited := time.Since(start); len(response.Events) != 0 || waited != 2*time.Second {
			t.Errorf("watch response %+v after %v, want no events after 2 s", response, waited)
		}
	})
}

// TestStoreListReturnsSortedPages checks that pages are sorted by key, and that each page reports whether more entries
// follow.
func TestStoreListReturnsSortedPages(t *testing.T) {
	store := NewStore()
	transact(t, store, putTransaction("a2", "a1", "b", "a3"))
	for _, c := range []struct {
		query string
		want  string
		more  bool
	}{
		{"prefix=a&page=2", "a1 a2", true},
		{"prefix=a&page=2&from=a2", "a3", false},
		{"prefix=a&page=3", "a1 a2 a3", false},
		{"prefix=", "a1 a2 a3 b", false},
		{"prefix=c", "", false},
	} {
		var page wire.KeyValuePage
		sendRequest(t, store, http.MethodGet, "/kv?"+c.query, nil, &page)
		var keys []string
		for _, entry := range page.Entries {
			keys = append(keys, entry.Key)
		}
		if got := strings.Join(keys, " "); got != c.want || page.More != c.more {
			t.Errorf("%s: %q, more %v; want %q, more %v", c.query, got, page.More, c.want, c.more)
		}
	}
}
