package manager

import "saffronbend/wire"

// The numbers that identify attempts, agents' incarnations and their messages are types of their own, so that one is
// not taken for another. The other packages' messages and records hold them as plain integers: they are converted
// where these are read or built.

// attemptID identifies an attempt to run a task; the tasks of a gang share one. Its high bits are the fencing token
// of the term in which it was granted, so that identifiers are unique across leaders.
type attemptID uint64

// agentIncarnation counts the times an agent has begun anew, without tasks. It grows with each.
type agentIncarnation uint64

// messageSeq counts the messages of an agent's incarnation, heartbeats and answers to pushes, in the order in which
// it has sent them. 0: none.
type messageSeq uint64

// incarnationOf returns the incarnation that an agent's message is of.
func incarnationOf(message *wire.Heartbeat) agentIncarnation {
	return agentIncarnation(message.Incarnation)
}

// sequenceOf returns the sequence number of an agent's message.
func sequenceOf(message *wire.Heartbeat) messageSeq { return messageSeq(message.Sequence) }
