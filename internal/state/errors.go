package state

import (
	"errors"
	"fmt"
)

// Errors of the client. Operators see their texts when a request of theirs fails. After one of these errors or a
// *ConflictError it is certain that the request changed nothing. After any other error of a transaction or a lease
// request the outcome is unknown: the request may have been carried out, or may still be carried out later.
var (
	// ErrUnavailable means that the store does not serve this controller at the moment, because of an outage or because a
	// rate limit was exceeded, either the store's or the client's own.
	ErrUnavailable = errors.New("the key-value store does not serve this controller now")
	// ErrLeaseExpired means that a lease has expired, or that a key was to be attached to an expired lease.
	ErrLeaseExpired = errors.New("the lease has expired")
	// ErrCompacted means that the store no longer has all changes since the start revision of a watch. The keys must be
	// read again.
	ErrCompacted = errors.New("watch revision is compacted")
	// ErrRejected means that the store rejected the request, usually because it exceeds a size limit.
	ErrRejected = errors.New("the key-value store refused the request")
)

// errRateLimited is the ErrUnavailable that is returned if the store's rate limit was exceeded. It makes the client
// lower its rate of deferrable changes.
var errRateLimited = fmt.Errorf("%w: too many requests or changes a second", ErrUnavailable)

// rejectedError returns an ErrRejected with the status of the response.
func rejectedError(status int) error { return fmt.Errorf("%w: status %d", ErrRejected, status) }

// ConflictError means that one or more conditions of a compare-and-swap did not hold.
type ConflictError struct {
	FailedKeys []string // the keys whose versions differed from the expected ones
}

// Error returns a text that contains the failed keys.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conditions failed: %v", e.FailedKeys)
}

// RecordError means that a stored record can't be decoded or used.
type RecordError struct {
	Key string
	Err error
}

// Error returns a text that contains the key and the cause.
func (e *RecordError) Error() string { return "record " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *RecordError) Unwrap() error { return e.Err }
