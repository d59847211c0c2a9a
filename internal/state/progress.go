package state

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"saffronbend/wire"
)

// ProgressRecord is the progress of a shard of a job's tasks. The record doesn't exist while no task of the shard has
// been started.
type ProgressRecord struct {
	Done   string      `json:"d,omitempty"` // bitmap of the completed tasks, see EncodeDoneBitmap
	Active []Placement `json:"a,omitempty"`
	// IdempotencyMark is unique to the write. If the outcome of a write is unknown, the mark in the stored record shows
	// whether the write was applied.
	IdempotencyMark string `json:"w"`
}

// Placement is an attempt of a task that may exist on a machine.
type Placement struct {
	Task        int                   `json:"t"` // the task's index within the job
	Machine     wire.MachineID        `json:"m"`
	Attempt     wire.AttemptID        `json:"n"`
	Incarnation wire.AgentIncarnation `json:"s"` // incarnation of the machine's agent
}

// EncodedSize returns the number of bytes that the placement occupies in its record.
func (p Placement) EncodedSize() (int, error) {
	encoded, err := json.Marshal(p)
	return len(encoded) + len(","), err
}

// ProgressRecordOverhead returns the maximum size in bytes of a progress record with the given number of tasks, without
// its placements.
func ProgressRecordOverhead(tasks int) int {
	const (
		emptyRecordBytes = len(`{"d":"","a":[],"w":""}`)
		markBytes        = 2*13 + len(".") // two 64-bit numbers in base 36
	)
	return emptyRecordBytes + markBytes + hex.EncodedLen(bitmapBytes(tasks))
}

// MinValueKB is the lowest limit of the size of a value in the store, in KiB, with which the service can work. Below
// it, ProgressShardSize does not guarantee that progress records fit.
const MinValueKB = 1

// ProgressShardSize returns the number of tasks per progress record of a job, chosen so that the placements of these
// tasks always fit into a value of valueKB KiB, if valueKB is at least MinValueKB.
//
// The shard size is fixed when a job is accepted, but the store's limit may be lowered later. Tasks of other jobs can
// then still be placed a few at a time. The tasks of a gang are placed all together or not at all, so a gang could
// never start if its placements no longer fit. The shards of a gang therefore fit a limit of MinValueKB.
func ProgressShardSize(kind wire.JobKind, valueKB float64) int {
	const (
		bytesPerKB   = 1024
		bytesPerTask = 80 // enough for the encoded placement of a task and the task's bit in the bitmap
		// bytesReserved is enough for the rest of the record: the names of the fields and the idempotency token.
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

// EncodeDoneBitmap returns a hexadecimal bitmap of the tasks that are done. The first task is the lowest bit of the
// first byte. The result is empty if no task is done.
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

// DecodeDoneBitmap calls visit for each done task of a bitmap, in ascending order. It returns an error if the bitmap is
// not valid hexadecimal. A corrupt bitmap may contain tasks beyond the size of its shard, which is not detected here.
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
