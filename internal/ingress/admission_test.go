package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

const (
	testBatchSize = 2
	testMaxWait   = 3 * time.Second
)

// startAdmission runs an admission until the test ends.
func startAdmission(t *testing.T) *Admission {
	t.Helper()
	admission := NewAdmission(testBatchSize, testMaxWait)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		admission.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return admission
}

// arrival is a connection of low priority on which one byte has arrived; err is the outcome of the server's read.
type arrival struct {
	*conn
	err chan error
}

// arrive opens such a connection.
func arrive(t *testing.T, admission *Admission) *arrival {
	t.Helper()
	server, client := net.Pipe()
	arrived := &arrival{&conn{Conn: server, admission: admission, lowPriority: true}, make(chan error, 1)}
	ended := make(chan struct{})
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
		<-ended // at the latest when its longest wait is over
	})
	go func() { _, _ = client.Write([]byte{1}) }()
	go func() {
		defer close(ended)
		_, err := arrived.Read(make([]byte, 1))
		arrived.err <- err
	}()
	return arrived
}

// admittedCount returns how many of the arrivals have been admitted by now.
func admittedCount(arrivals []*arrival) int {
	synctest.Wait()
	count := 0
	for _, arrived := range arrivals {
		arrived.mu.Lock()
		if arrived.batch != nil {
			count++
		}
		arrived.mu.Unlock()
	}
	return count
}

func TestBatchEndsBeforeTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := startAdmission(t)
		var arrivals []*arrival
		for range 5 {
			arrivals = append(arrivals, arrive(t, admission))
		}
		time.Sleep(maxBatchDuration / 2)
		if count := admittedCount(arrivals); count != testBatchSize {
			t.Fatalf("%d admitted, want %d", count, testBatchSize)
		}
		ended := 0
		for _, arrived := range arrivals {
			if !arrived.mustWait() {
				admission.ConnState(arrived.conn, http.StateIdle)
				ended++
			}
		}
		if count := admittedCount(arrivals); ended != testBatchSize || count != 0 {
			t.Fatalf("%d ended, %d admitted before the pause is over", ended, count)
		}
		time.Sleep(batchPause)
		if count := admittedCount(arrivals); count != testBatchSize {
			t.Fatalf("%d admitted after the pause, want %d", count, testBatchSize)
		}
	})
}

// A request that is stuck must not hold up the others for good.
func TestStuckRequestHoldsUpOneBatchOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := startAdmission(t)
		stuck := []*arrival{arrive(t, admission), arrive(t, admission)}
		if count := admittedCount(stuck); count != testBatchSize {
			t.Fatalf("%d admitted, want %d", count, testBatchSize)
		}
		next := []*arrival{arrive(t, admission)}
		if count := admittedCount(next); count != 0 {
			t.Fatal("admitted beside a full batch")
		}
		time.Sleep(maxBatchDuration + batchPause)
		if count := admittedCount(next); count != 1 {
			t.Fatal("still held up by the batch that is stuck")
		}
		// What ends late belongs to its own batch.
		admission.ConnState(stuck[0].conn, http.StateClosed)
		admission.ConnState(stuck[1].conn, http.StateClosed)
		admission.ConnState(next[0].conn, http.StateClosed)
	})
}

func TestOverloadedAfterTheLongestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := NewAdmission(testBatchSize, testMaxWait) // admits nobody
		arrived := arrive(t, admission)
		time.Sleep(testMaxWait - time.Millisecond)
		synctest.Wait()
		if len(arrived.err) != 0 {
			t.Fatal("gave up early")
		}
		time.Sleep(time.Millisecond)
		if err := <-arrived.err; !errors.Is(err, ErrOverloaded) {
			t.Fatalf("got %v", err)
		}
	})
}

// A request that yields makes room, and can end after that without being counted twice.
func TestYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := startAdmission(t)
		yielding := []*arrival{arrive(t, admission), arrive(t, admission)}
		if count := admittedCount(yielding); count != testBatchSize {
			t.Fatalf("%d admitted, want %d", count, testBatchSize)
		}
		for _, arrived := range yielding {
			Yield(ConnContext(t.Context(), arrived.conn))
			admission.ConnState(arrived.conn, http.StateIdle)
		}
		time.Sleep(batchPause)
		more := []*arrival{arrive(t, admission), arrive(t, admission)}
		if count := admittedCount(more); count != testBatchSize {
			t.Fatalf("%d admitted after the others yielded, want %d", count, testBatchSize)
		}
	})
}

// Only connections that have carried a request of low priority wait.
func TestOthersDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := NewAdmission(testBatchSize, testMaxWait) // admits nobody
		server, client := net.Pipe()
		defer func() {
			_ = client.Close()
			_ = server.Close()
		}()
		c := &conn{Conn: server, admission: admission}
		go func() { _, _ = client.Write([]byte{1, 2}) }()
		if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Fatalf("got %d, %v", n, err)
		}
		LowPriority(ConnContext(t.Context(), c))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, ErrOverloaded) {
			t.Fatalf("got %v after the connection was found to be of low priority", err)
		}
	})
}
