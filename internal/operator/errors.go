package operator

import (
	"errors"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
)

// Errors of DrainController and RebalancingController. Their texts are shown to operators.
var (
	// ErrDrainsDisabled is returned while the options don't enable drains.
	ErrDrainsDisabled = errors.New("drains are switched off: set drains { enabled: true } in the options")
	// ErrRebalancingDisabled is returned while the options don't enable rebalancing.
	ErrRebalancingDisabled = errors.New("moves are switched off: set spread { enabled: true } in the options")
	// ErrUnavailable is returned if no leader can execute a request at present. The request may have been executed
	// nevertheless; it is safe to retry.
	ErrUnavailable = errors.New("no leader can make this durable now")
)

// errStepTooLarge is returned for a request to drain too many machines at the same time.
var errStepTooLarge = errors.New("a step has at most " + strconv.Itoa(drain.MaxStep) + " machines")

const (
	// retryAfterHeader is the header for the delay before a retry, in whole seconds.
	retryAfterHeader = "Retry-After"
	retryAfter       = 2 * time.Second
)

// errorCodes maps errors to the status codes of the services' responses.
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

// toConnectError returns an error with its status code. An error that errorCodes doesn't list is a failure of the
// leader, such as an expired context. It gets the code Unavailable, because the request can be retried.
func toConnectError(err error) *connect.Error {
	for _, mapping := range errorCodes {
		if errors.Is(err, mapping.err) {
			return withRetryAfter(connect.NewError(mapping.code, err))
		}
	}
	return withRetryAfter(connect.NewError(connect.CodeUnavailable, err))
}

// translateForwardingError returns the error of a forwarded request. This is the leader's error if the leader has
// responded. Otherwise it is ErrUnavailable, since it is unknown whether the leader has executed the request. The codes
// Unknown and DeadlineExceeded count as no response.
func translateForwardingError(err error) *connect.Error {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return toConnectError(ErrUnavailable)
	}
	switch connectErr.Code() {
	case connect.CodeUnknown, connect.CodeDeadlineExceeded:
		return toConnectError(ErrUnavailable)
	default:
		return withRetryAfter(connect.NewError(connectErr.Code(), errors.New(connectErr.Message())))
	}
}

// withRetryAfter sets the retry header if the error's code is Unavailable.
func withRetryAfter(err *connect.Error) *connect.Error {
	if err.Code() == connect.CodeUnavailable {
		err.Meta().Set(retryAfterHeader, strconv.Itoa(int(retryAfter.Seconds())))
	}
	return err
}

// RetryAfter returns the delay after which a failed request should be retried. ok is false if the error doesn't specify
// a delay.
func RetryAfter(err error) (wait time.Duration, ok bool) {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return 0, false
	}
	seconds, parseErr := strconv.Atoi(connectErr.Meta().Get(retryAfterHeader))
	return time.Duration(seconds) * time.Second, parseErr == nil
}
