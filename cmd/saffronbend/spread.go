package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"connectrpc.com/connect"

	"saffronbend/internal/operator"
	"saffronbend/internal/operator/operatorpb"
	"saffronbend/internal/operator/operatorpb/operatorpbconnect"
)

// spreadCmd is the operators' side of moves of running work.
type spreadCmd struct {
	clusterFlag

	Status spreadStatusCmd `cmd:"" help:"Show the load of machines and teams, the last moves, and what is held back."`
	Pause  spreadPauseCmd  `cmd:"" help:"Move nothing more until moves are resumed."`
	Resume spreadResumeCmd `cmd:"" help:"Go on with moves that were paused."`
}

type (
	spreadStatusCmd struct {
		Machines uint32 `help:"How many machines, those with the most load, are shown." default:"20"`
	}
	spreadPauseCmd  struct{}
	spreadResumeCmd struct{}
)

type spreadCall func(context.Context, operatorpbconnect.SpreadServiceClient) (*connect.Response[operatorpb.SpreadStatus], error)

// ask asks one controller after another, until one can be reached, and prints the status that it answers with.
func (s *spreadCmd) ask(f spreadCall) error {
	return askControllers(s.Cluster, operator.NewRebalancingClient, func(ctx context.Context, client operatorpbconnect.SpreadServiceClient) error {
		resp, err := f(ctx, client)
		if err == nil {
			printSpread(os.Stdout, resp.Msg)
		}
		return err
	})
}

func (s spreadStatusCmd) Run(c *cli) error {
	return c.Spread.ask(func(ctx context.Context, client operatorpbconnect.SpreadServiceClient) (*connect.Response[operatorpb.SpreadStatus], error) {
		return client.GetSpread(ctx, connect.NewRequest(&operatorpb.GetSpreadRequest{Machines: s.Machines}))
	})
}

func (spreadPauseCmd) Run(c *cli) error {
	return c.Spread.ask(func(ctx context.Context, client operatorpbconnect.SpreadServiceClient) (*connect.Response[operatorpb.SpreadStatus], error) {
		return client.PauseSpread(ctx, connect.NewRequest(&operatorpb.ChangeSpreadRequest{}))
	})
}

func (spreadResumeCmd) Run(c *cli) error {
	return c.Spread.ask(func(ctx context.Context, client operatorpbconnect.SpreadServiceClient) (*connect.Response[operatorpb.SpreadStatus], error) {
		return client.ResumeSpread(ctx, connect.NewRequest(&operatorpb.ChangeSpreadRequest{}))
	})
}

// printSpread prints load, moves and what is held back, one line each.
func printSpread(w io.Writer, st *operatorpb.SpreadStatus) {
	switch {
	case st.Paused:
		fmt.Fprintln(w, "moves are paused")
	case st.WaitsFor != "":
		fmt.Fprintf(w, "nothing is moved: %s\n", st.WaitsFor)
	default:
		fmt.Fprintln(w, "moves are decided on")
	}
	fmt.Fprintf(w, "load is known of %d machines\n", st.KnownMachines)
	for _, m := range st.Machines {
		var teams []string
		for _, t := range m.Teams {
			teams = append(teams, fmt.Sprintf("%s %.2f", t.Team, t.Load))
		}
		fmt.Fprintf(w, "  %s: load %.2f, smoothed %.2f (%s)\n", m.Machine, m.Load, m.Smoothed, strings.Join(teams, ", "))
	}
	for _, m := range st.Moves {
		fmt.Fprintf(w, "  moved %.0f s ago: %s of team %s from %s to %s, relief %.2f, gain %.0f s, price %.0f s\n", m.AgoS, m.Task, m.Team, m.From, m.To, m.Relief, m.GainS, m.PriceS)
	}
	for _, h := range st.Held {
		fmt.Fprintf(w, "  held on %s: %s of team %s: %s\n", h.Machine, h.Task, h.Team, h.Reason)
	}
}
