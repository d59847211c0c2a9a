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

// request sends a request to a handler and returns the status. It decodes the response into result if that is not
// nil. A response that is lost has the status 0.
func request(t *testing.T, handler http.Handler, method, path string, body, result any) (status int) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if recovered := recover(); recovered != nil {
			if recovered != http.ErrAbortHandler { //nolint:errorlint // what a handler panics with is not wrapped
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

// put returns a transaction that stores a value under keys.
func put(keys ...string) wire.Transaction {
	var transaction wire.Transaction
	for _, key := range keys {
		transaction.Then = append(transaction.Then, wire.Change{Put: key, Value: json.RawMessage(`"value"`)})
	}
	return transaction
}

func transact(t *testing.T, store *Store, transaction wire.Transaction) int {
	t.Helper()
	return request(t, store, http.MethodPost, "/txn", transaction, nil)
}

// A transaction is applied if the versions of all keys are those of its conditions.
func TestStoreConditions(t *testing.T) {
	store := NewStore()
	conditional := put("a")
	conditional.If = []wire.Condition{{Key: "a", Version: 0}}
	if status := transact(t, store, conditional); status != http.StatusOK {
		t.Errorf("first: %d", status)
	}
	var result wire.TransactionResult
	if status := request(t, store, http.MethodPost, "/txn", conditional, &result); status != http.StatusConflict {
		t.Errorf("second: %d", status)
	}
	if len(result.FailedKeys) != 1 || result.FailedKeys[0] != "a" || result.Revision != 1 {
		t.Errorf("second: %+v", result)
	}
	conditional.If[0].Version = 1
	if status := transact(t, store, conditional); status != http.StatusOK {
		t.Errorf("with the version: %d", status)
	}
}

func TestStoreLimits(t *testing.T) {
	for _, c := range []struct {
		name        string
		limits      StoreLimits
		transaction wire.Transaction
		want        int
		tooLarge    int
	}{
		{"no limits", StoreLimits{}, put("a", "b"), http.StatusOK, 0},
		{"value too long", StoreLimits{ValueBytes: 6}, put("a"), http.StatusBadRequest, 1},
		{"value not too long", StoreLimits{ValueBytes: 7}, put("a"), http.StatusOK, 0},
		{"too many changes", StoreLimits{Operations: 1}, put("a", "b"), http.StatusBadRequest, 1},
		{"too many conditions", StoreLimits{Operations: 1}, wire.Transaction{If: make([]wire.Condition, 5)},
			http.StatusBadRequest, 1},
		{"not too many conditions", StoreLimits{Operations: 1}, wire.Transaction{If: make([]wire.Condition, 4)},
			http.StatusOK, 0},
		{"too many changes at once", StoreLimits{WriteRPS: 1}, put("a", "b"), http.StatusTooManyRequests, 0},
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

// The limit of changes per second allows a burst of one second's worth, and as many again a second later.
func TestStoreWriteRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		store.SetLimits(StoreLimits{WriteRPS: 2})
		for second := range 3 {
			for i, want := range []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests} {
				if status := transact(t, store, put("a")); status != want {
					t.Errorf("second %d, change %d: status %d, want %d", second, i, status, want)
				}
			}
			time.Sleep(time.Second)
		}
	})
}

func TestStoreLease(t *testing.T) {
	const ttl = 10 * time.Second
	for _, c := range []struct {
		name string
		play func(t *testing.T, store *Store, renew func() int)
		kept bool
	}{
		{"not renewed", func(*testing.T, *Store, func() int) {
			time.Sleep(ttl + time.Second)
		}, false},
		{"renewed", func(t *testing.T, _ *Store, renew func() int) {
			t.Helper()
			time.Sleep(ttl - time.Second)
			if status := renew(); status != http.StatusOK {
				t.Errorf("renewal: %d", status)
			}
			time.Sleep(ttl - time.Second)
		}, true},
		{"renewed after its expiry", func(t *testing.T, _ *Store, renew func() int) {
			t.Helper()
			time.Sleep(ttl + time.Second)
			if status := renew(); status != http.StatusNotFound {
				t.Errorf("renewal: %d", status)
			}
		}, false},
		{"not renewed during an outage, nor right after it", func(t *testing.T, store *Store, renew func() int) {
			t.Helper()
			store.SetOutage(true)
			time.Sleep(2 * ttl)
			if status := renew(); status != http.StatusServiceUnavailable {
				t.Errorf("renewal during the outage: %d", status)
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
				if status := request(t, store, http.MethodPost, "/grants", grant, &lease); status != http.StatusOK {
					t.Fatalf("grant: %d", status)
				}
				transaction := put("a")
				transaction.Then[0].Lease = lease.ID
				transact(t, store, transaction)
				c.play(t, store, func() int {
					return request(t, store, http.MethodPost, fmt.Sprintf("/grants/%d", lease.ID), nil, nil)
				})
				if _, retained := store.Get("a"); retained != c.kept {
					t.Errorf("the key is there: %v, want %v", retained, c.kept)
				}
			})
		})
	}
}

// A transaction that is delayed or whose response is lost is applied without a response; the faults end with their
// number.
func TestStoreTransactionFaults(t *testing.T) {
	const delay = 3 * time.Second
	for _, c := range []struct {
		name          string
		inject        func(store *Store)
		appliedAtOnce bool
	}{
		{"delayed", func(store *Store) { store.DelayTransactions("a", delay, 1) }, false},
		{"response lost", func(store *Store) { store.LoseResponses("a", 1) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := NewStore()
				c.inject(store)
				if status := transact(t, store, put("b")); status != http.StatusOK {
					t.Errorf("another prefix: %d", status)
				}
				if status := transact(t, store, put("a1")); status != 0 {
					t.Errorf("status %d, want a lost response", status)
				}
				if _, applied := store.Get("a1"); applied != c.appliedAtOnce {
					t.Errorf("applied at once: %v, want %v", applied, c.appliedAtOnce)
				}
				time.Sleep(delay + time.Second)
				if _, applied := store.Get("a1"); !applied {
					t.Error("not applied later")
				}
				if status := transact(t, store, put("a2")); status != http.StatusOK {
					t.Errorf("after the fault: %d", status)
				}
			})
		})
	}
}

// A watch returns the events of its prefix after its revision, or none after the time that it may block.
func TestStoreWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		transact(t, store, put("a1"))
		time.AfterFunc(time.Second, func() {
			store.Put(put("b").Then)
			store.Put(put("a2").Then)
		})
		var response wire.WatchResponse
		const blocksTwoSeconds = "/watch?prefix=a&from=1&block_ms=2000"
		request(t, store, http.MethodGet, blocksTwoSeconds, nil, &response)
		if len(response.Events) != 1 || response.Events[0].Put != "a2" || response.Revision != 3 {
			t.Errorf("%+v", response)
		}
		start := time.Now()
		request(t, store, http.MethodGet, "/watch?prefix=a&from=3&block_ms=2000", nil, &response)
		if waited := time.Since(start); len(response.Events) != 0 || waited != 2*time.Second {
			t.Errorf("after %v: %+v", waited, response)
		}
	})
}

// Pages of the list are in order of keys, and say whether there are more.
func TestStoreList(t *testing.T) {
	store := NewStore()
	transact(t, store, put("a2", "a1", "b", "a3"))
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
		request(t, store, http.MethodGet, "/kv?"+c.query, nil, &page)
		var keys []string
		for _, entry := range page.Entries {
			keys = append(keys, entry.Key)
		}
		if got := strings.Join(keys, " "); got != c.want || page.More != c.more {
			t.Errorf("%s: %q, more %v; want %q, more %v", c.query, got, page.More, c.want, c.more)
		}
	}
}
