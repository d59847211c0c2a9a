// Package standin contains the stand-ins of the review's cases: a key-value store, a cloud, workers, users, and a link
// that can be cut. Everything listens on loopback addresses and uses the real clock.
package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes what was sent, answered and run to a file, one line each, with the time since the start in seconds.
// It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecorder creates the file, or truncates it.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{start: time.Now(), file: file}, nil
}

// Printf writes one line. A line that can't be written is lost.
func (r *Recorder) Printf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
}
