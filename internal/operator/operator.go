// Package operator serves the operators' requests: one service for drains and one for rebalancing, both defined in
// operatorpb/operator.proto. Every controller serves them on its cluster address. The leader carries a request out by
// a DrainController or a RebalancingController, which the program's node implements; any other controller forwards it
// to the leader, once. The package translates messages and errors; it holds no state and decides nothing.
package operator

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	"saffronbend/internal/call"
)

const (
	// callTimeout bounds a request to another controller, connecting included.
	callTimeout = 5 * time.Second
	// maxMessageBytes bounds a request.
	maxMessageBytes = 1 << 20
)

// LeaderLocator locates the leader.
type LeaderLocator interface {
	// Leader returns the cluster address of the leader; here says that it is this controller. If the address is empty
	// and here is false, no leader is known.
	Leader() (addr string, here bool)
}

// newClient returns a client, made by its generated constructor, for a service on a cluster address. The function
// closeIdle closes its idle connections.
func newClient[Client any](
	construct func(connect.HTTPClient, string, ...connect.ClientOption) Client,
	dial call.Dialer, addr string,
) (client Client, closeIdle func()) {
	transport := &http.Transport{DialContext: dial, Protocols: call.UnencryptedHTTP2()}
	httpClient := &http.Client{Transport: transport, Timeout: callTimeout}
	return construct(httpClient, "http://"+addr, connect.WithGRPC()), transport.CloseIdleConnections
}
