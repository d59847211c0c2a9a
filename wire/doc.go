// Package wire defines the messages that saffronbend exchanges with its users, its workers, the cloud provider and the
// consensus-backed key-value store, as specified by the protocol. The package is responsible for the encoding of these
// messages and for the validation of job submissions; it sends no requests and keeps no state. Every package that
// communicates with one of these four partners imports it. Client programs of the service may import it too.
//
// The protocol uses names of its own. They occur only in this package, in struct tags and string constants. All other
// code uses the Go names in the right-hand column of this table.
//
//	partner   on the wire            in Go
//	users     lane                   Job.Class
//	          owner                  Job.Team
//	          shape                  Job.Kind: batch is a job array, group is gang scheduled
//	          urgency                Job.PriorityName, Job.Priority
//	          pieces                 Job.Tasks
//	          cores, cards           Job.CPUs, Job.GPUs
//	          bundle, size_gb        Job.Image, Job.ImageGB
//	          builds, yard           Job.MachineTypes, Job.Zone
//	          together, scatter      Job.SameZone, Job.SpreadZones
//	          loaners                Job.AllowSpot
//	          guess_s                Job.EstimateS
//	          snapshot_s, stash_s    Job.CheckpointIntervalS, Job.CheckpointSaveS
//	          due_s                  Job.DeadlineS
//	          withdraw, aborted      ActionCancel, JobCancelled
//	workers   /hello                 PathHeartbeat, Heartbeat
//	          /do                    PathCommands, CommandPush
//	          421 with foreman       LeaderRedirect.Leader
//	          box, build             Heartbeat.Machine, Heartbeat.Type
//	          shift                  Heartbeat.Incarnation: of the worker's agent
//	          tick                   Heartbeat.Sequence
//	          baton                  FencingToken
//	          recall_s               Heartbeat.ReclaimInS
//	          pieces, piece, try     Heartbeat.Tasks, TaskStatus.Task, TaskStatus.Attempt
//	          cause                  TaskStatus.ExitReason
//	          orders, verb           Commands, Command.Op
//	          wind_down_s            Command.GraceS
//	cloud     hire, number           ScaleOutRequest.RequestID, ScaleOutRequest.Count
//	          boxes                  MachineIDs.IDs, MachinePage.Machines
//	          local_gb, pull_gb_per_s, ready_s
//	                                 MachineType.CacheGB, MachineType.FetchGBPS, MachineType.BootS
//	          held_s                 Machine.AgeS
//	store     k, stamp, permit       KeyValue.Key, KeyValue.Version, KeyValue.Lease
//	          entries, ledger        KeyValuePage.Entries, KeyValuePage.Revision
//	          when, then             Transaction.If, Transaction.Then
//	          set, delete            Change.Put, Change.Delete
//	          grants, life_ms        StoreLease, StoreLeaseRequest.TTLMillis
//	          log                    WatchResponse.Events
//
// Fields whose Go names end in S are durations in seconds; fields whose Go names end in GB are sizes in gigabytes. CPU
// and GPU counts may be fractional.
package wire

// MaxBodyBytes is the maximum size of a user's request body, in bytes.
const MaxBodyBytes = 64 << 10

// ErrorResponse is the body of a response that rejects a request.
type ErrorResponse struct {
	Error string `json:"error"`
}
