package main

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"saffronbend/internal/operator"
	"saffronbend/internal/operator/operatorpb"
	"saffronbend/internal/operator/operatorpb/operatorpbconnect"
)

// rebalanceCmd is the group of operators' commands for rebalancing, which moves running tasks between machines. On the
// command line the group is called spread.
type rebalanceCmd struct {
	clusterFlag

	Status rebalanceStatusCmd `cmd:"" help:"Show the load of machines and teams, the last moves, and what is held back."`
	Pause  rebalancePauseCmd  `cmd:"" help:"Move nothing more until moves are resumed."`
	Resume rebalanceResumeCmd `cmd:"" help:"Go on with moves that were paused."`
}

type (
	rebalanceStatusCmd struct {
		Machines uint32 `help:"How many machines, those with the most load, are shown." default:"20"`
	}
	rebalancePauseCmd  struct{}
	rebalanceResumeCmd struct{}
)

// rebalancingRPC is a remote call that returns the status of rebalancing.
type rebalancingRPC func(
	ctx context.Context, client operatorpbconnect.SpreadServiceClient,
) (*connect.Response[operatorpb.SpreadStatus], error)

// call makes a call to one controller after another until one is available, and prints the status that it returns.
func (c *rebalanceCmd) call(rpc rebalancingRPC) error {
	printStatus := func(ctx context.Context, client operatorpbconnect.SpreadServiceClient) error {
		response, err := rpc(ctx, client)
		if err == nil {
			fmt.Print(formatRebalancing(response.Msg))
		}
		return err
	}
	return tryControllers(c.Cluster, operator.NewRebalancingClient, printStatus)
}

// Run prints the load of the machines, the latest moves and the tasks that are held back.
func (s rebalanceStatusCmd) Run(c *cli) error {
	request := connect.NewRequest(&operatorpb.GetSpreadRequest{Machines: s.Machines})
	return c.Rebalance.call(func(
		ctx context.Context, client operatorpbconnect.SpreadServiceClient,
	) (*connect.Response[operatorpb.SpreadStatus], error) {
		return client.GetSpread(ctx, request)
	})
}

// Run pauses rebalancing and prints its status.
func (rebalancePauseCmd) Run(c *cli) error {
	return c.Rebalance.call(func(
		ctx context.Context, client operatorpbconnect.SpreadServiceClient,
	) (*connect.Response[operatorpb.SpreadStatus], error) {
		return client.PauseSpread(ctx, connect.NewRequest(&operatorpb.ChangeSpreadRequest{}))
	})
}

// Run resumes rebalancing and prints its status.
func (rebalanceResumeCmd) Run(c *cli) error {
	return c.Rebalance.call(func(
		ctx context.Context, client operatorpbconnect.SpreadServiceClient,
	) (*connect.Response[operatorpb.SpreadStatus], error) {
		return client.ResumeSpread(ctx, connect.NewRequest(&operatorpb.ChangeSpreadRequest{}))
	})
}

// formatRebalancing returns the status of rebalancing as text, with one line for each machine, each move and each task
// that is held back.
func formatRebalancing(status *operatorpb.SpreadStatus) string {
	var text strings.Builder
	switch {
	case status.Paused:
		text.WriteString("moves are paused\n")
	case status.WaitsFor != "":
		fmt.Fprintf(&text, "nothing is moved: %s\n", status.WaitsFor)
	default:
		text.WriteString("moves are decided on\n")
	}
	fmt.Fprintf(&text, "load is known of %d machines\n", status.KnownMachines)
	for _, machine := range status.Machines {
		var teams []string
		for _, team := range machine.Teams {
			teams = append(teams, fmt.Sprintf("%s %.2f", team.Team, team.Load))
		}
		fmt.Fprintf(&text, "  %s: load %.2f, smoothed %.2f (%s)\n",
			machine.Machine, machine.Load, machine.Smoothed, strings.Join(teams, ", "))
	}
	for _, move := range status.Moves {
		fmt.Fprintf(&text, "  moved %.0f s ago: %s of team %s from %s to %s, relief %.2f, gain %.0f s, price %.0f s\n",
			move.AgoS, move.Task, move.Team, move.From, move.To, move.Relief, move.GainS, move.PriceS)
	}
	for _, held := range status.Held {
		fmt.Fprintf(&text, "  held on %s: %s of team %s: %s\n", held.Machine, held.Task, held.Team, held.Reason)
	}
	return text.String()
}
