package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"saffronbend/client"
	"saffronbend/wire"
)

// jobCmd is the users' side: a thin client.
type jobCmd struct {
	Server   []string      `help:"Addresses of the service, with ports." default:"127.0.0.1:8080" env:"SAFFRONBEND_SERVER" placeholder:"ADDR,..."` //nolint:lll // a struct tag cannot be broken
	Patience time.Duration `help:"How long a request that can't be served is repeated." default:"60s"`

	Submit   submitCmd   `cmd:"" help:"Submit a job."`
	Status   statusCmd   `cmd:"" help:"Ask about a job."`
	Withdraw withdrawCmd `cmd:"" help:"Cancel a job."`
}

type (
	submitCmd struct {
		File string `arg:"" help:"The job as JSON; - for standard input." placeholder:"FILE"`
	}
	statusCmd struct {
		ID string `arg:"" help:"The job's id, such as run-000412."`
	}
	withdrawCmd struct {
		ID string `arg:"" help:"The job's id, such as run-000412."`
	}
)

func (j *jobCmd) client() *client.Client {
	return &client.Client{Servers: j.Server, RetryTimeout: j.Patience, OnRetry: func(why string, after time.Duration) {
		fmt.Fprintf(os.Stderr, "saffronbend: %s; again in %v\n", why, after)
	}}
}

// Run submits a job.
func (s submitCmd) Run(c *cli) error {
	in := io.Reader(os.Stdin)
	if s.File != "-" {
		f, err := os.Open(s.File)
		if err != nil {
			return fmt.Errorf("the job can't be read: %w", err)
		}
		defer func() { _ = f.Close() }() // it is only read
		in = f
	}
	job, err := io.ReadAll(io.LimitReader(in, wire.MaxBodyBytes+1))
	if err != nil {
		return fmt.Errorf("the job can't be read: %w", err)
	}
	if len(job) > wire.MaxBodyBytes {
		return fmt.Errorf("the job is longer than %d bytes", wire.MaxBodyBytes)
	}
	return printStatus(func(ctx context.Context) (*wire.JobStatus, error) { return c.Job.client().Submit(ctx, job) })
}

// Run asks for a job.
func (s statusCmd) Run(c *cli) error {
	return printStatus(func(ctx context.Context) (*wire.JobStatus, error) { return c.Job.client().Status(ctx, s.ID) })
}

// Run cancels a job.
func (w withdrawCmd) Run(c *cli) error {
	return printStatus(func(ctx context.Context) (*wire.JobStatus, error) { return c.Job.client().Cancel(ctx, w.ID) })
}

// printStatus prints a job's state in one line.
func printStatus(ask func(context.Context) (*wire.JobStatus, error)) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	st, err := ask(ctx)
	if err != nil {
		return err
	}
	line := []string{st.ID, string(st.State)}
	if st.DoneTasks != nil && st.RunningTasks != nil {
		line = append(line, fmt.Sprintf("%d done", *st.DoneTasks), fmt.Sprintf("%d running", *st.RunningTasks))
	}
	fmt.Println(strings.Join(line, " "))
	return nil
}
