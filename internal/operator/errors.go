package operator

import (
	"errors"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
)

// Errors of the controllers, which operators see.
var (
	// ErrDrainsDisabled is returned while the options don't enable drains.
	ErrDrainsDisabled = errors.New("drains are switched off: set drains { enabled: true } in the options")
	// ErrRebalancingDisabled is returned while the options don't enable rebalancing.
	ErrRebalancingDisabled = errors.New("moves are switched off: set spread { enabled: true } in the options")
	// ErrUnavailable is returned if no leader can carry a request out now. It may have been carried out all the same;
	// it can be repeated.
	ErrUnavailable = errors.New("no leader can make this durable now")
)

// errStepTooLarge is returned for a request to empty too many machines at the same time.
var errStepTooLarge = errors.New("a step has at most " + strconv.Itoa(drain.MaxStep) + " machines")

const (
	// retryAfterHeader says when to repeat a request, in whole seconds.
	retryAfterHeader = "Retry-After"
	retryAfter       = 2 * time.Second
)

// errorCodes maps errors to the codes with which the services return them.
var errorCodes = []struct {
	err  error
	code connect.Code
}{
	{ErrUnavailable, connect.CodeUnavailable},
	{ErrDrainsDisabled, connect.CodeFailedPrecondition},
	{ErrRebalancingDisabled, connect.CodeFailedPrecondition},
	{drain.ErrUnknownDrain, connect.CodeNotFound},
	{drain.ErrUnknownMachine, connect.CodeNotFound},
	{drain.ErrUnknownTeam, connect.CodeNotFound},
	{drain.ErrNoMatch, connect.CodeNotFound},
	{drain.ErrNameInUse, connect.CodeAlreadyExists},
	{drain.ErrDrainEnded, connect.CodeFailedPrecondition},
	{drain.ErrTooManyDrains, connect.CodeResourceExhausted},
	{drain.ErrInvalidName, connect.CodeInvalidArgument},
	{drain.ErrNoSelection, connect.CodeInvalidArgument},
	{drain.ErrNegativeDuration, connect.CodeInvalidArgument},
	{errStepTooLarge, connect.CodeInvalidArgument},
	{disruption.ErrInvalidBudget, connect.CodeInvalidArgument},
}

// encodeError returns an error with its code. An error without a code is a failure of the leader, such as a context
// that has ended: the request can be repeated.
func encodeError(err error) *connect.Error {
	for _, known := range errorCodes {
		if errors.Is(err, known.err) {
			return withRetryAfter(connect.NewError(known.code, err))
		}
	}
	return withRetryAfter(connect.NewError(connect.CodeUnavailable, err))
}

// translateForwardError returns the leader's answer to a forwarded request. Without an answer it isn't known whether
// the request was carried out; it can be repeated.
func translateForwardError(err error) *connect.Error {
	var answer *connect.Error
	if !errors.As(err, &answer) {
		return encodeError(ErrUnavailable)
	}
	switch answer.Code() {
	case connect.CodeUnknown, connect.CodeDeadlineExceeded:
		return encodeError(ErrUnavailable)
	default:
		return withRetryAfter(connect.NewError(answer.Code(), errors.New(answer.Message())))
	}
}

// withRetryAfter sets when to repeat a request that is unavailable now.
func withRetryAfter(err *connect.Error) *connect.Error {
	if err.Code() == connect.CodeUnavailable {
		err.Meta().Set(retryAfterHeader, strconv.Itoa(int(retryAfter.Seconds())))
	}
	return err
}

// RetryAfter returns how long after an error the request should be repeated; ok is false if the error doesn't say so.
func RetryAfter(err error) (wait time.Duration, ok bool) {
	var answer *connect.Error
	if !errors.As(err, &answer) {
		return 0, false
	}
	seconds, parseErr := strconv.Atoi(answer.Meta().Get(retryAfterHeader))
	return time.Duration(seconds) * time.Second, parseErr == nil
}
