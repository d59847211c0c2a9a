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

// jobCmd is the group of commands for users: it submits, queries and cancels jobs.
type jobCmd struct {
	Server       []string      `help:"Addresses of the service, with ports." default:"127.0.0.1:8080" env:"SAFFRONBEND_SERVER" placeholder:"ADDR,..."` //nolint:lll // a struct tag cannot be broken
	RetryTimeout time.Duration `name:"patience" help:"How long a request that can't be served is repeated." default:"60s"`

	Submit submitCmd `cmd:"" help:"Submit a job."`
	Status statusCmd `cmd:"" help:"Ask about a job."`
	Cancel cancelCmd `cmd:"" name:"withdraw" help:"Cancel a job."`
}

type (
	submitCmd struct {
		File string `arg:"" help:"The job as JSON; - for standard input." placeholder:"FILE"`
	}
	statusCmd struct {
		ID string `arg:"" help:"The job's id, such as run-000412."`
	}
	cancelCmd struct {
		ID string `arg:"" help:"The job's id, such as run-000412."`
	}
)

// client returns an API client that reports each retry on standard error.
func (j *jobCmd) client() *client.Client {
	return &client.Client{Servers: j.Server, RetryTimeout: j.RetryTimeout, OnRetry: func(why string, after time.Duration) {
		fmt.Fprintf(os.Stderr, "saffronbend: %s; again in %v\n", why, after)
	}}
}

// errJobTooLong is returned for a job that exceeds the controllers' limit for request bodies.
var errJobTooLong = fmt.Errorf("the job is longer than %d bytes", wire.MaxBodyBytes)

// Run submits a job and prints its state.
func (s submitCmd) Run(c *cli) error {
	job, err := s.read()
	if err != nil {
		return err
	}
	return printStatus(func(ctx context.Context) (*wire.JobStatus, error) { return c.Job.client().Submit(ctx, job) })
}

// read reads the job from its file or from standard input.
func (s submitCmd) read() ([]byte, error) {
	input := io.Reader(os.Stdin)
	if s.File != "-" {
		file, err := os.Open(s.File)
		if err != nil {
			return nil, fmt.Errorf("the job can't be read: %w", err)
		}
		defer func() { _ = file.Close() }() // opened for reading only
		input = file
	}
	// Reading one byte more than the limit shows whether the job exceeds it.
	job, err := io.ReadAll(io.LimitReader(input, wire.MaxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("the job can't be read: %w", err)
	}
	if len(job) > wire.MaxBodyBytes {
		return nil, errJobTooLong
	}
	return job, nil
}

// Run queries a job and prints its state.
func (s statusCmd) Run(c *cli) error {
	return printStatus(func(ctx context.Context) (*wire.JobStatus, error) {
		return c.Job.client().Status(ctx, wire.JobID(s.ID))
	})
}

// Run cancels a job and prints its state.
func (s cancelCmd) Run(c *cli) error {
	return printStatus(func(ctx context.Context) (*wire.JobStatus, error) {
		return c.Job.client().Cancel(ctx, wire.JobID(s.ID))
	})
}

// printStatus makes a request and prints the job status that it returns in one line.
func printStatus(request func(context.Context) (*wire.JobStatus, error)) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	status, err := request(ctx)
	if err != nil {
		return err
	}
	line := []string{string(status.ID), string(status.State)}
	if status.DoneTasks != nil && status.RunningTasks != nil {
		line = append(line, fmt.Sprintf("%d done", *status.DoneTasks), fmt.Sprintf("%d running", *status.RunningTasks))
	}
	fmt.Println(strings.Join(line, " "))
	return nil
}
