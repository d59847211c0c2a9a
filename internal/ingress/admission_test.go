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
	testBatch    = 2
	testPatience = 3 * time.Second
)

// admitted starts an admission for the length of a test.
func admitted(t *testing.T) *Admission {
	a := NewAdmission(testBatch, testPatience)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		a.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return a
}

// request is a connection of low priority on which one byte has arrived; read has the server read it.
type request struct {
	*conn
	err chan error
}

func arrive(t *testing.T, a *Admission) *request {
	server, client := net.Pipe()
	r := &request{&conn{Conn: server, admission: a, lowPriority: true}, make(chan error, 1)}
	ended := make(chan struct{})
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
		<-ended // at the latest when its patience is over
	})
	go func() { _, _ = client.Write([]byte{1}) }()
	go func() {
		defer close(ended)
		_, err := r.Read(make([]byte, 1))
		r.err <- err
	}()
	return r
}

// atWork tells how many of the requests have been admitted by now.
func atWork(requests []*request) int {
	synctest.Wait()
	n := 0
	for _, r := range requests {
		r.mu.Lock()
		if r.batch != nil {
			n++
		}
		r.mu.Unlock()
	}
	return n
}

func TestBatchEndsBeforeTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitted(t)
		var rs []*request
		for range 5 {
			rs = append(rs, arrive(t, a))
		}
		time.Sleep(longestBatch / 2)
		if n := atWork(rs); n != testBatch {
			t.Fatalf("%d at work, want %d", n, testBatch)
		}
		ended := 0
		for _, r := range rs {
			if !r.mustWait() {
				a.ConnState(r.conn, http.StateIdle)
				ended++
			}
		}
		if n := atWork(rs); ended != testBatch || n != 0 {
			t.Fatalf("%d ended, %d at work before the pause is over", ended, n)
		}
		time.Sleep(pause)
		if n := atWork(rs); n != testBatch {
			t.Fatalf("%d at work after the pause, want %d", n, testBatch)
		}
	})
}

// A request that is stuck must not hold up the others for good.
func TestStuckRequestHoldsUpOneBatchOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitted(t)
		rs := []*request{arrive(t, a), arrive(t, a)}
		if n := atWork(rs); n != testBatch {
			t.Fatalf("%d at work, want %d", n, testBatch)
		}
		next := []*request{arrive(t, a)}
		if n := atWork(next); n != 0 {
			t.Fatal("admitted beside a full batch")
		}
		time.Sleep(longestBatch + pause)
		if n := atWork(next); n != 1 {
			t.Fatal("still held up by the batch that is stuck")
		}
		// What ends late belongs to its own batch.
		a.ConnState(rs[0].conn, http.StateClosed)
		a.ConnState(rs[1].conn, http.StateClosed)
		a.ConnState(next[0].conn, http.StateClosed)
	})
}

func TestOverloadedAfterPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAdmission(testBatch, testPatience) // admits nobody
		r := arrive(t, a)
		time.Sleep(testPatience - time.Millisecond)
		synctest.Wait()
		if len(r.err) != 0 {
			t.Fatal("gave up early")
		}
		time.Sleep(time.Millisecond)
		if err := <-r.err; !errors.Is(err, ErrOverloaded) {
			t.Fatalf("got %v", err)
		}
	})
}

// A request that yields makes room, and can end after that without being counted twice.
func TestYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitted(t)
		rs := []*request{arrive(t, a), arrive(t, a)}
		if n := atWork(rs); n != testBatch {
			t.Fatalf("%d at work, want %d", n, testBatch)
		}
		for _, r := range rs {
			Yield(ConnContext(t.Context(), r.conn))
			a.ConnState(r.conn, http.StateIdle)
		}
		time.Sleep(pause)
		more := []*request{arrive(t, a), arrive(t, a)}
		if n := atWork(more); n != testBatch {
			t.Fatalf("%d at work after the others yielded, want %d", n, testBatch)
		}
	})
}

// Only connections that have carried a request of low priority wait.
func TestOthersDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAdmission(testBatch, testPatience) // admits nobody
		server, client := net.Pipe()
		defer func() {
			_ = client.Close()
			_ = server.Close()
		}()
		c := &conn{Conn: server, admission: a}
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
