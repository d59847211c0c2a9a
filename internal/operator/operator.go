// Package operator holds the operators' services: one for drains, one for moves of running work. Every controller serves them on
// its cluster address and passes requests on to the leader.
package operator

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"saffronbend/internal/call"
	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
)

// Errors that a controller answers with.
var (
	ErrDrainsDisabled      = errors.New("drains are switched off: set drains { enabled: true } in the options")
	ErrRebalancingDisabled = errors.New("moves are switched off: set spread { enabled: true } in the options")
	ErrUnavailable         = errors.New("no leader can make this durable now")
)

const (
	// forwardedHeader marks a request that another controller has passed on: it is not passed on again.
	forwardedHeader = "Saffronbend-Forwarded"
	// retryHeader says when to come back, in seconds.
	retryHeader = "Retry-After"
	retryAfter  = 2 * time.Second
	callTimeout = 5 * time.Second
	mostMessage = 1 << 20
)

// Leader tells where the leader is.
type LeaderLocator interface {
	// Leader gives the cluster address of the leader; here: it is this controller. None is known if both are empty.
	Leader() (addr string, here bool)
}

// newClient makes a client, by its generated constructor, for the service on a cluster address.
func newClient[C any](construct func(connect.HTTPClient, string, ...connect.ClientOption) C, dial call.Dialer, addr string) (client C, closeIdle func()) {
	transport := &http.Transport{DialContext: dial, Protocols: call.UnencryptedHTTP2()}
	httpClient := &http.Client{Transport: transport, Timeout: callTimeout}
	return construct(httpClient, "http://"+addr, connect.WithGRPC()), transport.CloseIdleConnections
}

// forwarder finds the leader for requests to one service, of which C is the client.
type forwarder[C any] struct {
	leader    LeaderLocator
	dial      call.Dialer
	newClient func(dial call.Dialer, addr string) (client C, closeIdle func())
}

// serve answers a request on the leader, and passes it on elsewhere.
func serve[C, A, B any](ctx context.Context, f forwarder[C], req *connect.Request[A], here func(context.Context) (*B, error),
	there func(C, context.Context, *connect.Request[A]) (*connect.Response[B], error)) (*connect.Response[B], error) {
	addr, isHere := f.leader.Leader()
	if isHere {
		out, err := here(ctx)
		if err != nil {
			return nil, encodeError(err)
		}
		return connect.NewResponse(out), nil
	}
	if addr == "" || req.Header().Get(forwardedHeader) != "" {
		return nil, encodeError(ErrUnavailable)
	}
	client, closeIdle := f.newClient(f.dial, addr)
	defer closeIdle()
	forwarded := connect.NewRequest(req.Msg)
	forwarded.Header().Set(forwardedHeader, "yes")
	out, err := there(client, ctx, forwarded)
	if err != nil {
		return nil, passError(err)
	}
	return connect.NewResponse(out.Msg), nil
}

// codes gives the code of each error that is told to operators.
var codes = []struct {
	err  error
	code connect.Code
}{
	{ErrUnavailable, connect.CodeUnavailable}, {ErrDrainsDisabled, connect.CodeFailedPrecondition}, {ErrRebalancingDisabled, connect.CodeFailedPrecondition},
	{drain.ErrUnknownDrain, connect.CodeNotFound}, {drain.ErrUnknownMachine, connect.CodeNotFound}, {drain.ErrUnknownTeam, connect.CodeNotFound},
	{drain.ErrNoMatch, connect.CodeNotFound}, {drain.ErrNameInUse, connect.CodeAlreadyExists}, {drain.ErrDrainEnded, connect.CodeFailedPrecondition},
	{drain.ErrTooManyDrains, connect.CodeResourceExhausted}, {drain.ErrInvalidName, connect.CodeInvalidArgument}, {drain.ErrNoSelection, connect.CodeInvalidArgument},
	{drain.ErrNegativeDuration, connect.CodeInvalidArgument}, {errStep, connect.CodeInvalidArgument}, {disruption.ErrInvalidBudget, connect.CodeInvalidArgument},
}

func encodeError(err error) *connect.Error {
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return withRetry(connect.NewError(c.code, err))
		}
	}
	return withRetry(connect.NewError(connect.CodeUnavailable, err))
}

// passError passes on what the leader has answered. Without an answer it is not known whether the request was carried out;
// it can be repeated.
func passError(err error) *connect.Error {
	var answered *connect.Error
	if errors.As(err, &answered) && answered.Code() != connect.CodeUnknown && answered.Code() != connect.CodeDeadlineExceeded {
		return withRetry(connect.NewError(answered.Code(), errors.New(answered.Message())))
	}
	return encodeError(ErrUnavailable)
}

// withRetry says when to come back, where that makes sense.
func withRetry(e *connect.Error) *connect.Error {
	if e.Code() == connect.CodeUnavailable {
		e.Meta().Set(retryHeader, strconv.Itoa(int(retryAfter.Seconds())))
	}
	return e
}

// RetryAfter gives when to come back after an error, if it says so.
func RetryAfter(err error) (time.Duration, bool) {
	var e *connect.Error
	if !errors.As(err, &e) {
		return 0, false
	}
	s, convErr := strconv.Atoi(e.Meta().Get(retryHeader))
	return time.Duration(s) * time.Second, convErr == nil
}
