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

// clusterFlag names the controllers that operators' commands go to.
type clusterFlag struct {
	Cluster []string `help:"Cluster addresses of the controllers, with ports." default:"127.0.0.1:8081" env:"SAFFRONBEND_CLUSTER" placeholder:"ADDR,..."` //nolint:lll // a struct tag cannot be broken
}

// errNoController is the error when no controller is named.
var errNoController = errors.New("no controller is named")

// askControllers asks one controller after another, until one can be reached. It returns what that one answers: an
// error of a controller is reduced to its message, with when to try again. The client is of the type C.
func askControllers[C any](
	cluster []string,
	newClient func(dial call.Dialer, addr string) (client C, closeIdle func()),
	ask func(context.Context, C) error,
) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := errNoController
	for _, addr := range cluster {
		client, closeIdle := newClient(saffronbend.NewTCP().Dial, addr)
		err = ask(ctx, client)
		closeIdle()
		if connect.CodeOf(err) != connect.CodeUnavailable || ctx.Err() != nil {
			break
		}
	}
	if err == nil {
		return nil
	}
	var answer *connect.Error
	if !errors.As(err, &answer) {
		return err
	}
	if after, ok := operator.RetryAfter(err); ok {
		return fmt.Errorf("%s: try again in %v", answer.Message(), after)
	}
	return errors.New(answer.Message())
}
