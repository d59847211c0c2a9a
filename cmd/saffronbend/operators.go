package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"connectrpc.com/connect"

	"saffronbend"
	"saffronbend/internal/call"
	"saffronbend/internal/operator"
)

// clusterFlag specifies the controllers that operators' commands are sent to.
type clusterFlag struct {
	Cluster []string `help:"Cluster addresses of the controllers, with ports." default:"127.0.0.1:8081" env:"SAFFRONBEND_CLUSTER" placeholder:"ADDR,..."` //nolint:lll // a struct tag cannot be broken
}

// errNoController is returned when the cluster flag is empty.
var errNoController = errors.New("no controller is named")

// tryControllers makes a call to one controller after another until one is available, and returns the error of the last
// call. An error response of a controller is reduced to its message and, if given, the time after which to retry. C is
// the type of the client.
func tryControllers[C any](
	cluster []string,
	newClient func(dial call.Dialer, addr string) (client C, closeIdle func()),
	rpc func(context.Context, C) error,
) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := errNoController
	for _, addr := range cluster {
		client, closeIdle := newClient(saffronbend.NewTCP().Dial, addr)
		err = rpc(ctx, client)
		closeIdle()
		if connect.CodeOf(err) != connect.CodeUnavailable || ctx.Err() != nil {
			break
		}
	}
	if err == nil {
		return nil
	}
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return err
	}
	if after, ok := operator.RetryAfter(err); ok {
		return fmt.Errorf("%s: try again in %v", connectErr.Message(), after)
	}
	return errors.New(connectErr.Message())
}
