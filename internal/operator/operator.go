// Package operator implements the RPC services for operators, one for drains and one for rebalancing. Both are defined
// in operatorpb/operator.proto, and every controller serves them on its cluster address, the address at which the other
// controllers reach it. The leader executes a request by calling a DrainController or a RebalancingController, which
// the root package implements. Any other controller forwards the request to the leader and marks it with the header
// forwardedHeader. A controller that receives a request with this header and is not the leader responds with
// ErrUnavailable instead of forwarding the request again. The package converts messages and errors, and is stateless.
package operator

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	"saffronbend/internal/call"
)

const (
	// callTimeout is the timeout of a request to another controller, including the time to connect.
	callTimeout = 5 * time.Second
	// maxMessageBytes is the maximum size of a request.
	maxMessageBytes = 1 << 20
)

// LeaderLocator finds the leader.
type LeaderLocator interface {
	// Leader returns the cluster address of the leader, or "" if no leader is known. If isLeader is true, this controller
	// is the leader, and the address is not used.
	Leader() (addr string, isLeader bool)
}

// newClient calls a generated constructor to create a client for the service on a cluster address. The returned
// function closeIdle closes the client's idle connections.
func newClient[Client any](
	construct func(connect.HTTPClient, string, ...connect.ClientOption) Client,
	dial call.Dialer, addr string,
) (client Client, closeIdle func()) {
	transport := &http.Transport{DialContext: dial, Protocols: call.UnencryptedHTTP2()}
	httpClient := &http.Client{Transport: transport, Timeout: callTimeout}
	return construct(httpClient, "http://"+addr, connect.WithGRPC()), transport.CloseIdleConnections
}
