package wire

import (
	"errors"
	"fmt"

	"github.com/segmentio/encoding/json"
)

var errNoMachine = errors.New("the report names no machine")

// DecodeHeartbeat reads a worker's report. Reports are by far the most frequent messages and list every task of a
// machine, so they are decoded by a library that is several times faster than encoding/json.
func DecodeHeartbeat(body []byte) (*Heartbeat, error) {
	r := new(Heartbeat)
	if err := json.Unmarshal(body, r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if r.Machine == "" {
		return nil, errNoMachine
	}
	return r, nil
}
