package state

import (
	"errors"
	"fmt"
)

// Errors of the client. After these, and after a *ConflictError, it is certain that nothing was changed. After any
// other error of a transaction or a lease's request the outcome is unknown: it may have been carried out, or may yet
// be.
var (
	// ErrUnavailable means that the store doesn't serve this controller now, because of an outage or of a rate limit,
	// its own or ours.
	ErrUnavailable = errors.New("the key-value store does not serve this controller now")
	// ErrLeaseExpired means that a lease has expired, or that a key was to be attached to one that has.
	ErrLeaseExpired = errors.New("the lease has expired")
	// ErrCompacted means that the store no longer has all changes since a watch's revision: the keys must be read again.
	ErrCompacted = errors.New("the revision is too old to watch from")
	// ErrRefused means that the store won't carry the request out, mostly because it exceeds a limit of size.
	ErrRefused = errors.New("the key-value store refused the request")
)

// errRateLimited is the kind of ErrUnavailable that asks for a slower pace.
var errRateLimited = fmt.Errorf("%w: too many requests or changes a second", ErrUnavailable)

// refused returns an ErrRefused that names the response's status.
func refused(status int) error { return fmt.Errorf("%w: status %d", ErrRefused, status) }

// ConflictError means that conditions of a compare-and-swap did not hold.
type ConflictError struct {
	FailedKeys []string // whose versions were other than expected
}

// Error names the keys.
func (e *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", e.FailedKeys) }

// RecordError means that a stored record can't be used.
type RecordError struct {
	Key string
	Err error
}

// Error names the key and the cause.
func (e *RecordError) Error() string { return "record " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }
