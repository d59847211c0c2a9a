package state

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"saffronbend/wire"
)

// ProgressRecord is the progress of a shard of a job's tasks. There is none for a shard of which no task was started.
type ProgressRecord struct {
	Done   string      `json:"d,omitempty"` // see EncodeDoneBitmap
	Active []Placement `json:"a,omitempty"`
	// IdempotencyMark is unique to the write: if a write's outcome is unknown, reading the record shows whether it was
	// carried out.
	IdempotencyMark string `json:"w"`
}

// Placement is an attempt of a task that may exist on a machine.
type Placement struct {
	Task        int                   `json:"t"` // its index within the job
	Machine     wire.MachineID        `json:"m"`
	Attempt     wire.AttemptID        `json:"n"`
	Incarnation wire.AgentIncarnation `json:"s"` // of the machine's agent
}

// EncodedSize returns how many bytes the placement takes in its record.
func (p Placement) EncodedSize() (int, error) {
	encoded, err := json.Marshal(p)
	return len(encoded) + len(","), err
}

// ProgressRecordOverhead returns how many bytes a progress record of so many tasks takes, at most, beside its
// placements.
func ProgressRecordOverhead(tasks int) int {
	const (
		frame = len(`{"d":"","a":[],"w":""}`)
		mark  = 2*13 + len(".") // two 64-bit numbers in base 36
	)
	return frame + mark + hex.EncodedLen(bitmapBytes(tasks))
}

// MinValueKB is the lowest limit of the size of a value, in KiB, that the service can work with.
const MinValueKB = 1

// ProgressShardSize returns how many of a job's tasks share a progress record, so that their placements surely fit into
// a value of valueKB KiB.
//
// The placements of a gang exist all at once or not at all: it could never start if the limit fell below what they
// need. So its records fit the lowest limit that there may be.
func ProgressShardSize(kind wire.JobKind, valueKB float64) int {
	const (
		bytesPerKB    = 1024
		bytesPerTask  = 80 // at most: a placement and a bit of the bitmap
		bytesReserved = 200
		minTasks      = 4
		maxTasks      = 256
	)
	if kind == wire.KindGang {
		valueKB = MinValueKB
	}
	tasks := int(valueKB*bytesPerKB-bytesReserved) / bytesPerTask
	return min(maxTasks, max(minTasks, tasks))
}

const bitsPerByte = 8

func bitmapBytes(tasks int) int { return (tasks + bitsPerByte - 1) / bitsPerByte }

// EncodeDoneBitmap returns the bitmap of the done ones of so many tasks, in hexadecimal, the first task in the lowest
// bit of the first byte. It is empty if none is done.
func EncodeDoneBitmap(tasks int, done func(task int) bool) string {
	bits := make([]byte, bitmapBytes(tasks))
	anyDone := false
	for task := range tasks {
		if done(task) {
			bits[task/bitsPerByte] |= 1 << (task % bitsPerByte)
			anyDone = true
		}
	}
	if !anyDone {
		return ""
	}
	return hex.EncodeToString(bits)
}

// DecodeDoneBitmap calls visit for each done task of a bitmap, in order. A damaged bitmap may have tasks beyond its
// shard's size, or be no bitmap, which is an error.
func DecodeDoneBitmap(bitmap string, visit func(task int)) error {
	bits, err := hex.DecodeString(bitmap)
	if err != nil {
		return fmt.Errorf("decode bitmap: %w", err)
	}
	for i, octet := range bits {
		for bit := range bitsPerByte {
			if octet&(1<<bit) != 0 {
				visit(i*bitsPerByte + bit)
			}
		}
	}
	return nil
}
