package wire

// Each kind of identifier has its own Go type, so that the compiler rejects the use of one kind in place of another.
// Identifiers are converted from and to plain numbers and strings only at the boundaries of the program: HTTP
// parameters, settings, the command line, the operators' messages, and the keys and versions of the key-value store.

// FencingToken identifies a leader's term. It is the version that the key-value store assigned to the leader key when
// the leader acquired it, so it increases with each term: of two leaders, the one with the higher token is newer. A
// process that has seen a token rejects commands and writes that carry a lower one. 0 means that no leader is known.
type FencingToken uint64

// AttemptID identifies an attempt to run a task; all tasks of a gang share one. The leader issues it when it grants the
// lease. Its high bits are the fencing token of the leader's term at that moment, so that identifiers are unique across
// leaders and increase in the order of the grants. 0 means none.
type AttemptID uint64

// AttemptNumberBits is the number of low bits of an AttemptID that hold the attempt's number within its term.
const AttemptNumberBits = 20

// NewAttemptID returns the identifier of the attempt with a number, which must be below 1 << AttemptNumberBits, in the
// term with a fencing token.
func NewAttemptID(token FencingToken, number uint64) AttemptID {
	return AttemptID(uint64(token)<<AttemptNumberBits | number)
}

// FencingToken returns the fencing token of the term in which the attempt was granted. Only that term's leader launches
// the attempt, so a worker that has seen a higher token executes no launch of it any more.
func (id AttemptID) FencingToken() FencingToken { return FencingToken(id >> AttemptNumberBits) }

// AgentIncarnation numbers the incarnations of a worker's agent. An agent begins a new incarnation, without tasks, when
// the worker's lease has expired. The agent issues the number, which starts at 1 and increases: of two incarnations on
// the same machine, the higher one is newer. 0 means that none is known.
type AgentIncarnation uint64

// HeartbeatSeq is the sequence number of a message within one incarnation of an agent. Heartbeats and responses to
// pushed commands share the sequence, in the order in which the agent sent them. Sequence numbers of different
// incarnations can't be compared. 0 means none.
type HeartbeatSeq uint64

// MachineID identifies a machine, such as n-000231. The cloud issues it when the machine is created and never reuses
// it, so late heartbeats of a deleted machine are never attributed to another machine. IDs sort in the order in which
// the machines were created. An empty ID means none.
type MachineID string

// JobID identifies a job, such as run-000412. The user who submits the job chooses the ID. An ID is never reused for
// another job, so that a repeated submission can be recognized. Where jobs are sorted by ID, the order is that of the
// bytes, which is unrelated to the age of the jobs. An empty ID means none.
type JobID string

// TeamName identifies the team that owns a job and whose quota applies to it. The teams are listed in the deployment's
// settings; jobs of other teams are rejected. Names have no meaningful order. An empty name means none.
type TeamName string
