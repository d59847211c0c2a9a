package operator

import (
	"context"

	"connectrpc.com/connect"

	"saffronbend/internal/call"
)

// forwardedHeader marks a request that another controller has forwarded. Such a request isn't forwarded again, since
// two controllers that each consider the other one the leader would forward it back and forth.
const forwardedHeader = "Saffronbend-Forwarded"

// forwarder holds what is needed to forward a service's requests to the leader.
type forwarder[Client any] struct {
	leader    LeaderLocator
	dial      call.Dialer
	newClient func(dial call.Dialer, addr string) (client Client, closeIdle func())
}

// serveOrForward calls local if this controller is the leader; otherwise it forwards the request to the leader by the
// client's method remote. Errors have the type *connect.Error, with the text of ErrUnavailable if no leader has
// responded.
func serveOrForward[Client, Request, Response any](
	ctx context.Context, f forwarder[Client], request *connect.Request[Request],
	local func(context.Context) (*Response, error),
	remote func(Client, context.Context, *connect.Request[Request]) (*connect.Response[Response], error),
) (*connect.Response[Response], error) {
	addr, isLeader := f.leader.Leader()
	if isLeader {
		response, err := local(ctx)
		if err != nil {
			return nil, toConnectError(err)
		}
		return connect.NewResponse(response), nil
	}
	if addr == "" || request.Header().Get(forwardedHeader) != "" {
		return nil, toConnectError(ErrUnavailable)
	}
	client, closeIdle := f.newClient(f.dial, addr)
	defer closeIdle()
	forwarded := connect.NewRequest(request.Msg)
	forwarded.Header().Set(forwardedHeader, "yes")
	response, err := remote(client, ctx, forwarded)
	if err != nil {
		return nil, translateForwardingError(err)
	}
	return connect.NewResponse(response.Msg), nil
}
