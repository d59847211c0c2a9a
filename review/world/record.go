// Package world contains the stand-ins of the second review: a key-value store, a cloud, workers, users and links that
// can be cut, all on loopback addresses and the real clock, and what starts and ends the controllers as processes. The
// stand-ins follow the protocol's page; where the page is silent, they behave like a sound server or client.
package world

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of a case: what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Add writes a line with the time since the record began.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A line that cannot be written does not change the result of the case.
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time since the record began.
func (r *Record) Since() time.Duration { return time.Since(r.start) }
