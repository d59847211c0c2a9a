package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"connectrpc.com/connect"

	"saffronbend/internal/drain"
	"saffronbend/internal/operator"
	"saffronbend/internal/operator/operatorpb"
	"saffronbend/internal/operator/operatorpb/operatorpbconnect"
)

// drainCmd is the operators' side of drains.
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
		OnDeadline string            `help:"What then becomes of tasks that can't save: wait for their end, or evict them." enum:"wait,evict" default:"wait"`
		Budget     map[string]string `help:"Tasks of a team that may be disturbed at once, such as 3 or 10%." placeholder:"TEAM=LIMIT"`
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

// ask asks one controller after another, until one can be reached.
func (d *drainCmd) ask(f func(context.Context, operatorpbconnect.DrainServiceClient) error) error {
	return askControllers(d.Cluster, operator.NewDrainClient, f)
}

// one asks for something that is answered with one drain's status, and prints that.
func (d *drainCmd) one(f func(context.Context, operatorpbconnect.DrainServiceClient) (*connect.Response[operatorpb.DrainStatus], error)) error {
	return d.ask(func(ctx context.Context, c operatorpbconnect.DrainServiceClient) error {
		resp, err := f(ctx, c)
		if err == nil {
			printDrain(os.Stdout, resp.Msg)
		}
		return err
	})
}

func (s drainStartCmd) Run(c *cli) error {
	if s.Deadline < 0 || s.OlderThan < 0 {
		return drain.ErrNegativeDuration
	}
	req := &operatorpb.StartDrainRequest{Name: s.Name, Machines: s.Machine, Zone: s.Zone, Type: s.Type, OlderThanS: s.OlderThan.Seconds(), Step: s.Step,
		DeadlineS: s.Deadline.Seconds(), EvictAtDeadline: s.OnDeadline == "evict", Budgets: s.Budget}
	return c.Drain.one(func(ctx context.Context, client operatorpbconnect.DrainServiceClient) (*connect.Response[operatorpb.DrainStatus], error) {
		return client.StartDrain(ctx, connect.NewRequest(req))
	})
}

func (s drainStatusCmd) Run(c *cli) error {
	return c.Drain.ask(func(ctx context.Context, client operatorpbconnect.DrainServiceClient) error {
		resp, err := client.GetDrains(ctx, connect.NewRequest(&operatorpb.GetDrainsRequest{Name: s.Name}))
		if err != nil {
			return err
		}
		for _, st := range resp.Msg.Drains {
			printDrain(os.Stdout, st)
			printDetails(os.Stdout, st)
		}
		return nil
	})
}

func (n drainName) request() *connect.Request[operatorpb.NamedDrainRequest] {
	return connect.NewRequest(&operatorpb.NamedDrainRequest{Name: n.Name})
}

func (s drainPauseCmd) Run(c *cli) error {
	return c.Drain.one(func(ctx context.Context, client operatorpbconnect.DrainServiceClient) (*connect.Response[operatorpb.DrainStatus], error) {
		return client.PauseDrain(ctx, s.request())
	})
}

func (s drainResumeCmd) Run(c *cli) error {
	return c.Drain.one(func(ctx context.Context, client operatorpbconnect.DrainServiceClient) (*connect.Response[operatorpb.DrainStatus], error) {
		return client.ResumeDrain(ctx, s.request())
	})
}

func (s drainCancelCmd) Run(c *cli) error {
	return c.Drain.one(func(ctx context.Context, client operatorpbconnect.DrainServiceClient) (*connect.Response[operatorpb.DrainStatus], error) {
		return client.CancelDrain(ctx, s.request())
	})
}

// printDrain prints a drain in one line.
func printDrain(w io.Writer, st *operatorpb.DrainStatus) {
	overdue := ""
	if st.Overdue {
		overdue = ", overdue"
	}
	fmt.Fprintf(w, "%s %s: %d of %d machines gone, %d being emptied, %d tasks left%s\n", st.Name, st.State, st.Gone, st.Machines, st.Emptying, st.TasksLeft, overdue)
}

// printDetails prints what a drain waits for.
func printDetails(w io.Writer, st *operatorpb.DrainStatus) {
	for _, b := range st.Budgets {
		fmt.Fprintf(w, "  team %s: %d tasks disturbed, %d may be\n", b.Team, b.Disturbed, b.Allowed)
	}
	for _, b := range st.Blocked {
		fmt.Fprintf(w, "  %s: %s of team %s: %s\n", b.Machine, b.Task, b.Team, b.Reason)
	}
}
