package wire

// The identifiers that the scheduler's parts pass to one another are types of their own, so that one is not taken for
// another. They are converted where they enter or leave as plain numbers and strings: HTTP parameters, settings, the
// command line, the operators' messages, and the keys and versions of the key-value store.

// FencingToken identifies a leader's term. It is the version that the leader's key got in the key-value store as the
// leader claimed it, so it grows with each term: of two leaders, the one with the higher token is newer, and who has
// seen a token refuses commands and writes under lower ones. 0: no leader is known.
type FencingToken uint64

// AttemptID identifies an attempt to run a task; the tasks of a gang share one. The leader issues it with the grant.
// Its high bits are the fencing token of the term in which that was, so that identifiers are unique across leaders and
// grow with the grants. 0: none.
type AttemptID uint64

// AgentIncarnation counts the times that a worker's agent has begun anew, without tasks, as it does when the worker's
// lease has expired. The agent issues it. It starts at 1 and grows: of two of one machine, the higher is newer. 0: none
// is known.
type AgentIncarnation uint64

// HeartbeatSeq counts the messages of an agent's incarnation, heartbeats and answers to pushed commands, in the order
// in which the agent has sent them. Those of different incarnations don't compare. 0: none.
type HeartbeatSeq uint64

// MachineID identifies a machine, such as n-000231. The cloud issues it with the rental, and no other machine
// gets it: late heartbeats of a deleted one count for nothing. The order of the
// identifiers is that in which the machines were created. Empty: none.
type MachineID string

// JobID identifies a job, such as run-000412. The user who submits the job chooses it, and one that was used is never
// another job's: a repeated submission is recognized by it. Where jobs are sorted it is by the identifier's bytes,
// which says nothing of their age. Empty: none.
type JobID string

// TeamName identifies the team that a job belongs to and whose quota applies to it. The deployment's settings name the
// teams; a job of another team is refused. Names have no order. Empty: none.
type TeamName string
