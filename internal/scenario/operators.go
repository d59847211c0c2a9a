package scenario

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"saffronbend/internal/call"
	"saffronbend/internal/operator"
)

// askAnyController sends an operator's request to the running controllers, one after another, until one responds.
func askAnyController[Client, Message any](
	ctx context.Context, h *harness,
	newClient func(dial call.Dialer, addr string) (Client, func()),
	ask func(context.Context, Client) (*connect.Response[Message], error),
) (*Message, error) {
	const timeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := errNoController
	for _, member := range h.members {
		if !h.controllers[member].running() {
			continue
		}
		client, closeIdle := newClient(h.operators.Dial, h.controllers[member].ip+":"+clusterPort)
		var response *connect.Response[Message]
		response, err = ask(ctx, client)
		closeIdle()
		if err == nil {
			return response.Msg, nil
		}
	}
	return nil, err
}

// compareOutcome compares the outcome of an operator's command, "ok" or an error code, with the expected one.
func compareOutcome(err error, want string) error {
	got := "ok"
	if err != nil {
		got = connect.CodeOf(err).String()
		_, hasDelay := operator.RetryAfter(err)
		if got == connect.CodeUnavailable.String() && !hasDelay {
			return fmt.Errorf("code unavailable without a delay after which to retry: %w", err)
		}
	}
	if want != "" && got != want {
		return fmt.Errorf("outcome %s (%w), want %s", got, err, want)
	}
	return nil
}
