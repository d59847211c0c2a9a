package state

import (
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"saffronbend/wire"
)

// Keys of the records. A job has a status record for good, an open record until it is
// over and all its tasks are gone, and one progress record for each chunk of tasks
// that has been touched. Status and open record always change together, so that
// they have the same version.
const (
	LeaderKey       = "leader"
	MachineTypesKey = "types"
	OpenJobPrefix   = "open/"
	statusPrefix    = "job/"
	chunkPrefix     = "tasks/"
	// RenewerPrefix lists who renews, or has renewed, worker leases in the leader's stead.
	RenewerPrefix = "care/"
	// ProgressPrefix lists all progress records.
	ProgressPrefix = chunkPrefix
)

// StatusKey names a job's status record.
func JobStatusKey(id string) string { return statusPrefix + id }

// OpenKey names a job's open record.
func OpenJobKey(id string) string { return OpenJobPrefix + id }

// ProgressKey names the progress record of a chunk of a job's tasks.
func ProgressKey(id string, chunk int) string { return chunkPrefix + id + "/" + strconv.Itoa(chunk) }

// ActiveRenewerKey returns the key that exists, attached to the member's lease, while the member renews worker leases
// in the leader's stead.
func ActiveRenewerKey(member string) string { return activeRenewerPrefix + member }

// LastRenewerKey returns the key that stays: its version says when the member last began to renew worker leases.
func LastRenewerKey(member string) string { return RenewerPrefix + "last/" + member }

const activeRenewerPrefix = RenewerPrefix + "now/"

// IsActiveRenewerKey tells whether a record says that a controller renews now.
func IsActiveRenewerKey(key string) bool { return strings.HasPrefix(key, activeRenewerPrefix) }

// ParseProgressKey takes the name of a progress record apart.
func ParseProgressKey(key string) (id string, chunk int, ok bool) {
	rest, found := strings.CutPrefix(key, chunkPrefix)
	if !found {
		return "", 0, false
	}
	return wire.ParseTaskName(rest)
}

// RecordError says which record can't be used.
type RecordError struct {
	Key string
	Err error
}

func (e *RecordError) Error() string { return "record " + e.Key + ": " + e.Err.Error() }

// Unwrap gives the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// DecodeRecord reads a record's value; an error names its key.
func DecodeRecord(it wire.KeyValue, into any) error {
	if err := json.Unmarshal(it.Value, into); err != nil {
		return &RecordError{it.Key, err}
	}
	return nil
}

// LeaderRecord says who leads.
type LeaderRecord struct {
	Member string `json:"member"`
	// Incarnation tells apart the processes that have borne the member's name.
	Incarnation uint64 `json:"run"`
}

// StatusRecord is what users are told of a job.
type JobStatusRecord struct {
	State wire.JobState `json:"status"` // pending, done or cancelled, as on the wire
}

// OpenRecord describes a job that is not over yet, or whose tasks may still exist.
type OpenJobRecord struct {
	Job        wire.Job      `json:"job"`
	AcceptedAt int64         `json:"accepted"` // time of day, microseconds
	ShardSize  int           `json:"chunk"`    // tasks in a progress record
	FinalState wire.JobState `json:"over,omitempty"`
}

// Finalized is the record of a job that is over: what must be known until its last task is
// gone, and no more. The description may have been kept under a higher limit than there is
// now, and must not have to be written at that size again.
func (r OpenJobRecord) Finalized(status wire.JobState) OpenJobRecord {
	j := r.Job
	r.Job = wire.Job{ID: j.ID, Team: j.Team, Kind: j.Kind, PriorityName: j.PriorityName, Tasks: j.Tasks,
		CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, SameZone: j.SameZone, SpreadZones: j.SpreadZones}
	r.FinalState = status
	return r
}

// ProgressRecord is the progress of a chunk of tasks.
type ProgressRecord struct {
	Done   string      `json:"d,omitempty"` // bitmap in hexadecimal
	Active []Placement `json:"a,omitempty"`
	// IdempotencyMark names the write, so that its unknown outcome can be read back.
	IdempotencyMark string `json:"w"`
}

// Placement is an attempt that may exist.
type Placement struct {
	Task        int    `json:"t"`
	Machine     string `json:"m"`
	Attempt     uint64 `json:"n"`
	Incarnation uint64 `json:"s"`
}

// Size is how many bytes the placement takes in its record.
func (p Placement) EncodedSize() (int, error) {
	data, err := json.Marshal(p)
	return len(data) + len(","), err
}

// ProgressOverhead is how many bytes a progress record of so many tasks takes, at the most,
// beside its placements.
func ProgressRecordOverhead(tasks int) int {
	const frame, mark = len(`{"d":"","a":[],"w":""}`), 2*13 + len(".") // two numbers to the base of 36
	return frame + mark + 2*((tasks+7)/8)
}

// ProgressShardSize gives how many of a job's tasks share a progress record, so that their placements
// surely fit into a value. Those of a gang exist all at once or not at all: it could never
// start if the limit fell below what they need. So their records fit the lowest limit there
// may be.
func ProgressShardSize(kind wire.JobKind, valueKB float64) int {
	const bytesPerTask = 80
	if kind == wire.KindGang {
		valueKB = MinValueKB
	}
	return min(256, max(4, int(valueKB*1024-200)/bytesPerTask))
}

// LeastValueKB is the lowest limit of a value, in KiB, with which the service can do.
const MinValueKB = 1

// EncodeDone makes a bitmap of done tasks.
func EncodeDoneBitmap(n int, done func(i int) bool) string {
	bits := make([]byte, (n+7)/8)
	some := false
	for i := range n {
		if done(i) {
			bits[i/8] |= 1 << (i % 8)
			some = true
		}
	}
	if !some {
		return ""
	}
	return hex.EncodeToString(bits)
}

// DecodeDone calls f for each done task of a bitmap.
func DecodeDoneBitmap(s string, f func(i int)) error {
	bits, err := hex.DecodeString(s)
	if err != nil {
		return err
	}
	for i, b := range bits {
		for k := range 8 {
			if b&(1<<k) != 0 {
				f(i*8 + k)
			}
		}
	}
	return nil
}

// Keys of drains. A drain's machines are written before the drain itself: without that they count for nothing.
const (
	DrainPrefix         = "drain/"
	DrainMachinesPrefix = "drain-machines/"
	// DisruptionPrefix lists the tasks whose running attempt was stopped or lost and whose successor does not run yet.
	DisruptionPrefix = "disruption/"
)

// SpreadKey names the record of whether moves of running tasks are paused. Without it they are not.
const RebalancingKey = "spread"

// RebalancingRecord says whether moves are paused.
type RebalancingRecord struct {
	Paused bool `json:"paused"`
}

// DrainKey names a drain's record.
func DrainKey(name string) string { return DrainPrefix + name }

// DrainMachinesKey names a page of a list of machines. Lists have names of their own, which are never used again: a write that
// is carried out late changes no other drain.
func DrainMachinesKey(list string, page int) string {
	return DrainMachinesPrefix + list + "/" + strconv.Itoa(page)
}

// DisruptionKey names the record of the disturbed tasks of a chunk of a job's tasks.
func DisruptionKey(id string, chunk int) string {
	return DisruptionPrefix + id + "/" + strconv.Itoa(chunk)
}

// ParseDisruptionKey takes the name of a disruption record apart.
func ParseDisruptionKey(key string) (id string, chunk int, ok bool) {
	rest, found := strings.CutPrefix(key, DisruptionPrefix)
	if !found {
		return "", 0, false
	}
	return wire.ParseTaskName(rest)
}

// ParseDrainMachinesKey takes the name of a page of a list of machines apart.
func ParseDrainMachinesKey(key string) (list string, page int, ok bool) {
	rest, found := strings.CutPrefix(key, DrainMachinesPrefix)
	i := strings.LastIndexByte(rest, '/')
	if !found || i < 0 {
		return "", 0, false
	}
	page, err := strconv.Atoi(rest[i+1:])
	return rest[:i], page, err == nil
}

// DrainRecord is a drain as its operators have started it, and its state.
type DrainRecord struct {
	Name            string            `json:"name"`
	State           string            `json:"state"`
	RequestID       string            `json:"request"` // by which a repeated start is known
	Step            int               `json:"step"`
	StartedAt       int64             `json:"started"`            // time of day, microseconds
	Deadline        int64             `json:"deadline,omitempty"` // time of day, microseconds; 0: none
	EvictAtDeadline bool              `json:"evict,omitempty"`
	Budgets         map[string]string `json:"budgets,omitempty"`
	// Zone and Type name what is vacated as a whole: nothing is rented there that can be elsewhere.
	Zone          string `json:"zone,omitempty"`
	Type          string `json:"type,omitempty"`
	MachineListID string `json:"list"` // of its machines
	MachinePages  int    `json:"pages"`
	MachineCount  int    `json:"machines"`
}

// DisruptionRecord holds the disturbed tasks of a chunk.
type DisruptionRecord struct {
	Open []OpenDisruption `json:"o"`
	// IdempotencyMark names the write, as in a progress record.
	IdempotencyMark string `json:"w"`
}

// OpenDisturbance is a task that is disturbed. It takes no more bytes than a placement.
type OpenDisruption struct {
	Task    int    `json:"t"`
	Attempt uint64 `json:"n"`
	Cause   string `json:"c"`
	// To is the machine where room is reserved for the successor, if some is.
	ReservedMachine string `json:"m,omitempty"`
}
