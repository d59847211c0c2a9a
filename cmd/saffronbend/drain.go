package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"

	"saffronbend/internal/drain"
	"saffronbend/internal/operator"
	"saffronbend/internal/operator/operatorpb"
	"saffronbend/internal/operator/operatorpb/operatorpbconnect"
)

// drainCmd is the group of operators' commands that start, show and change drains.
type drainCmd struct {
	clusterFlag

	Start  drainStartCmd  `cmd:"" help:"Cordon machines, and have them emptied and returned in steps."`
	Status drainStatusCmd `cmd:"" help:"Show drains, and what they wait for."`
	Pause  drainPauseCmd  `cmd:"" help:"Evict nothing more; the machines stay cordoned."`
	Resume drainResumeCmd `cmd:"" help:"Go on with a drain that was paused."`
	Cancel drainCancelCmd `cmd:"" help:"End a drain; the machines that are left take work again."`
}

type (
	drainStartCmd struct {
		Name       string            `arg:"" help:"The drain's name."`
		Machine    []string          `help:"Machines by name." placeholder:"NAME,..."`
		Zone       string            `help:"All machines in a zone."`
		Type       string            `help:"All machines of a type."`
		OlderThan  time.Duration     `help:"All machines that are older."`
		Step       uint32            `help:"Machines that are emptied at the same time; 0: as the options say."`
		Deadline   time.Duration     `help:"When the drain should be done; 0: none."`
		OnDeadline string            `help:"What then becomes of tasks that can't save: wait for their end, or evict them." enum:"wait,evict" default:"wait"` //nolint:lll // a struct tag cannot be broken
		Budget     map[string]string `help:"Tasks of a team that may be disturbed at once, such as 3 or 10%." placeholder:"TEAM=LIMIT"`                       //nolint:lll // a struct tag cannot be broken
	}
	drainStatusCmd struct {
		Name string `arg:"" optional:"" help:"The drain's name; all drains without."`
	}
	drainName struct {
		Name string `arg:"" help:"The drain's name."`
	}
	drainPauseCmd  struct{ drainName }
	drainResumeCmd struct{ drainName }
	drainCancelCmd struct{ drainName }
)

// drainRPC is a remote call that returns the status of a drain.
type drainRPC func(
	ctx context.Context, client operatorpbconnect.DrainServiceClient,
) (*connect.Response[operatorpb.DrainStatus], error)

// withClient calls f with a client of each controller in turn, until one can be reached.
func (d *drainCmd) withClient(f func(context.Context, operatorpbconnect.DrainServiceClient) error) error {
	return tryControllers(d.Cluster, operator.NewDrainClient, f)
}

// change makes a call that changes a drain, and prints the status that it returns.
func (d *drainCmd) change(rpc drainRPC) error {
	return d.withClient(func(ctx context.Context, client operatorpbconnect.DrainServiceClient) error {
		response, err := rpc(ctx, client)
		if err == nil {
			fmt.Print(formatDrain(response.Msg))
		}
		return err
	})
}

// changeNamed changes the drain with the given name through one of the client's methods.
func (d *drainCmd) changeNamed(name string, method func(
	operatorpbconnect.DrainServiceClient, context.Context, *connect.Request[operatorpb.NamedDrainRequest],
) (*connect.Response[operatorpb.DrainStatus], error)) error {
	request := connect.NewRequest(&operatorpb.NamedDrainRequest{Name: name})
	return d.change(func(
		ctx context.Context, client operatorpbconnect.DrainServiceClient,
	) (*connect.Response[operatorpb.DrainStatus], error) {
		return method(client, ctx, request)
	})
}

// Run starts a drain and prints its status.
func (s drainStartCmd) Run(c *cli) error {
	if s.Deadline < 0 || s.OlderThan < 0 {
		return drain.ErrNegativeDuration
	}
	request := &operatorpb.StartDrainRequest{
		Name: s.Name, Machines: s.Machine, Zone: s.Zone, Type: s.Type,
		OlderThanS: s.OlderThan.Seconds(), Step: s.Step, DeadlineS: s.Deadline.Seconds(),
		EvictAtDeadline: s.OnDeadline == "evict", Budgets: s.Budget,
	}
	return c.Drain.change(func(
		ctx context.Context, client operatorpbconnect.DrainServiceClient,
	) (*connect.Response[operatorpb.DrainStatus], error) {
		return client.StartDrain(ctx, connect.NewRequest(request))
	})
}

// Run prints the status of one drain or of all drains, and what each is waiting for.
func (s drainStatusCmd) Run(c *cli) error {
	return c.Drain.withClient(func(ctx context.Context, client operatorpbconnect.DrainServiceClient) error {
		response, err := client.GetDrains(ctx, connect.NewRequest(&operatorpb.GetDrainsRequest{Name: s.Name}))
		if err != nil {
			return err
		}
		for _, status := range response.Msg.Drains {
			fmt.Print(formatDrain(status), formatDrainDetails(status))
		}
		return nil
	})
}

// Run pauses a drain and prints its status.
func (s drainPauseCmd) Run(c *cli) error {
	return c.Drain.changeNamed(s.Name, operatorpbconnect.DrainServiceClient.PauseDrain)
}

// Run resumes a drain and prints its status.
func (s drainResumeCmd) Run(c *cli) error {
	return c.Drain.changeNamed(s.Name, operatorpbconnect.DrainServiceClient.ResumeDrain)
}

// Run cancels a drain and prints its status.
func (s drainCancelCmd) Run(c *cli) error {
	return c.Drain.changeNamed(s.Name, operatorpbconnect.DrainServiceClient.CancelDrain)
}

// formatDrain returns a one-line summary of a drain.
func formatDrain(status *operatorpb.DrainStatus) string {
	overdue := ""
	if status.Overdue {
		overdue = ", overdue"
	}
	return fmt.Sprintf("%s %s: %d of %d machines gone, %d being emptied, %d tasks left%s\n",
		status.Name, status.State, status.Gone, status.Machines, status.Emptying, status.TasksLeft, overdue)
}

// formatDrainDetails returns what a drain is waiting for: one line for each budget and for each task that blocks it.
func formatDrainDetails(status *operatorpb.DrainStatus) string {
	var text strings.Builder
	for _, budget := range status.Budgets {
		fmt.Fprintf(&text, "  team %s: %d tasks disturbed, %d may be\n", budget.Team, budget.Disturbed, budget.Allowed)
	}
	for _, blocked := range status.Blocked {
		fmt.Fprintf(&text, "  %s: %s of team %s: %s\n", blocked.Machine, blocked.Task, blocked.Team, blocked.Reason)
	}
	return text.String()
}
