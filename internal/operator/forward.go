package operator

import (
	"context"

	"connectrpc.com/connect"

	"saffronbend/internal/call"
)

// forwardedHeader marks a request that another controller has forwarded. It isn't forwarded again: two controllers
// that take each other for the leader must not send it back and forth.
const forwardedHeader = "Saffronbend-Forwarded"

// forwarder forwards requests to the leader's instance of a service.
type forwarder[Client any] struct {
	leader    LeaderLocator
	dial      call.Dialer
	newClient func(dial call.Dialer, addr string) (client Client, closeIdle func())
}

// serveOrForward answers a request by the function local on the leader, and by the client's method remote elsewhere.
// The errors are *connect.Error, with ErrUnavailable as the text if no leader has answered.
func serveOrForward[Client, Request, Response any](
	ctx context.Context, f forwarder[Client], request *connect.Request[Request],
	local func(context.Context) (*Response, error),
	remote func(Client, context.Context, *connect.Request[Request]) (*connect.Response[Response], error),
) (*connect.Response[Response], error) {
	addr, here := f.leader.Leader()
	if here {
		response, err := local(ctx)
		if err != nil {
			return nil, encodeError(err)
		}
		return connect.NewResponse(response), nil
	}
	if addr == "" || request.Header().Get(forwardedHeader) != "" {
		return nil, encodeError(ErrUnavailable)
	}
	client, closeIdle := f.newClient(f.dial, addr)
	defer closeIdle()
	forwarded := connect.NewRequest(request.Msg)
	forwarded.Header().Set(forwardedHeader, "yes")
	response, err := remote(client, ctx, forwarded)
	if err != nil {
		return nil, translateForwardError(err)
	}
	return connect.NewResponse(response.Msg), nil
}
