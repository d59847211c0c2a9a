package micros

// OptionalTimestamp is an instant that may be unknown. It is not a Timestamp, so that no sum or comparison takes an
// unknown instant for the start of the process: callers must say what it means. The zero value is unknown.
type OptionalTimestamp struct {
	at    Timestamp
	known bool
}

// KnownTimestamp returns a known instant.
func KnownTimestamp(at Timestamp) OptionalTimestamp { return OptionalTimestamp{at: at, known: true} }

// Get returns the instant. at is meaningless if known is false.
func (t OptionalTimestamp) Get() (at Timestamp, known bool) { return t.at, t.known }

// Add returns the instant d microseconds after t, which is unknown if t is.
func (t OptionalTimestamp) Add(d Duration) OptionalTimestamp {
	if !t.known {
		return t
	}
	return KnownTimestamp(t.at.Add(d))
}

// Age returns how long before now the instant was, for logs: for example "1.5s ago", or "unknown".
func (t OptionalTimestamp) Age(now Timestamp) string {
	if !t.known {
		return "unknown"
	}
	return now.Sub(t.at).AsDuration().String() + " ago"
}

// Later returns the later of two instants. An unknown instant counts as earlier than any known one.
func (t OptionalTimestamp) Later(other OptionalTimestamp) OptionalTimestamp {
	if !t.known || other.known && other.at > t.at {
		return other
	}
	return t
}
