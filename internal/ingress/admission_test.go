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

// startAdmission returns an Admission that runs until the test ends.
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

// incomingRequest is a request of one byte on a low-priority connection. readErr receives the error of the server's
// read, which is nil once the request is admitted.
type incomingRequest struct {
	*conn
	readErr chan error
}

// sendRequest opens a low-priority connection and writes one byte to it. A goroutine reads that byte as the server
// does.
func sendRequest(t *testing.T, admission *Admission) *incomingRequest {
	t.Helper()
	server, client := net.Pipe()
	request := &incomingRequest{&conn{Conn: server, admission: admission, lowPriority: true}, make(chan error, 1)}
	ended := make(chan struct{})
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
		<-ended // The read returns after testMaxWait at the latest
	})
	go func() { _, _ = client.Write([]byte{1}) }()
	go func() {
		defer close(ended)
		_, err := request.Read(make([]byte, 1))
		request.readErr <- err
	}()
	return request
}

// admittedCount returns how many of the requests are admitted and in flight at present.
func admittedCount(requests []*incomingRequest) int {
	synctest.Wait()
	count := 0
	for _, request := range requests {
		request.mu.Lock()
		if request.batch != nil {
			count++
		}
		request.mu.Unlock()
	}
	return count
}

func TestNextBatchWaitsForPreviousBatchAndPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := startAdmission(t)
		var requests []*incomingRequest
		for range 5 {
			requests = append(requests, sendRequest(t, admission))
		}
		time.Sleep(maxBatchDuration / 2)
		if count := admittedCount(requests); count != testBatchSize {
			t.Fatalf("%d admitted, want %d", count, testBatchSize)
		}
		ended := 0
		for _, request := range requests {
			if !request.needsAdmission() {
				admission.ConnState(request.conn, http.StateIdle)
				ended++
			}
		}
		if count := admittedCount(requests); ended != testBatchSize || count != 0 {
			t.Fatalf("%d ended, %d admitted before the end of the pause", ended, count)
		}
		time.Sleep(batchPause)
		if count := admittedCount(requests); count != testBatchSize {
			t.Fatalf("%d admitted after the pause, want %d", count, testBatchSize)
		}
	})
}

// A request that does not end delays the next batch for maxBatchDuration at most.
func TestStuckRequestDelaysOnlyOneBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := startAdmission(t)
		stuck := []*incomingRequest{sendRequest(t, admission), sendRequest(t, admission)}
		if count := admittedCount(stuck); count != testBatchSize {
			t.Fatalf("%d admitted, want %d", count, testBatchSize)
		}
		next := []*incomingRequest{sendRequest(t, admission)}
		if count := admittedCount(next); count != 0 {
			t.Fatal("request admitted while the batch is full")
		}
		time.Sleep(maxBatchDuration + batchPause)
		if count := admittedCount(next); count != 1 {
			t.Fatal("request not admitted after the maximum duration of the stuck batch")
		}
		// Requests of the stuck batch that end late are counted in their own batch, not in the current one.
		admission.ConnState(stuck[0].conn, http.StateClosed)
		admission.ConnState(stuck[1].conn, http.StateClosed)
		admission.ConnState(next[0].conn, http.StateClosed)
	})
}

func TestOverloadedAfterMaxWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := NewAdmission(testBatchSize, testMaxWait) // admits nothing, because Run is not called
		request := sendRequest(t, admission)
		time.Sleep(testMaxWait - time.Millisecond)
		synctest.Wait()
		if len(request.readErr) != 0 {
			t.Fatal("read failed before the maximum wait was over")
		}
		time.Sleep(time.Millisecond)
		if err := <-request.readErr; !errors.Is(err, ErrOverloaded) {
			t.Fatalf("got %v, want ErrOverloaded", err)
		}
	})
}

// A request that yields leaves its batch, so that the next batch starts. When the request ends later, it is not counted
// a second time.
func TestYieldLeavesBatchOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := startAdmission(t)
		yielding := []*incomingRequest{sendRequest(t, admission), sendRequest(t, admission)}
		if count := admittedCount(yielding); count != testBatchSize {
			t.Fatalf("%d admitted, want %d", count, testBatchSize)
		}
		for _, request := range yielding {
			Yield(ConnContext(t.Context(), request.conn))
			admission.ConnState(request.conn, http.StateIdle)
		}
		time.Sleep(batchPause)
		more := []*incomingRequest{sendRequest(t, admission), sendRequest(t, admission)}
		if count := admittedCount(more); count != testBatchSize {
			t.Fatalf("%d admitted after the others yielded, want %d", count, testBatchSize)
		}
	})
}

// Requests wait for admission only on connections that have carried a low-priority request before.
func TestNormalPriorityDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := NewAdmission(testBatchSize, testMaxWait) // admits nothing, because Run is not called
		server, client := net.Pipe()
		defer func() {
			_ = client.Close()
			_ = server.Close()
		}()
		c := &conn{Conn: server, admission: admission}
		go func() { _, _ = client.Write([]byte{1, 2}) }()
		if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Fatalf("read %d bytes, error %v; want 1 byte without waiting for admission", n, err)
		}
		MarkLowPriority(ConnContext(t.Context(), c))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, ErrOverloaded) {
			t.Fatalf("got %v after the connection was marked as low priority, want ErrOverloaded", err)
		}
	})
}
