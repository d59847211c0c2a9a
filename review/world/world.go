package world

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"saffronbend/wire"
)

// World is a small deployment with its stand-ins.
type World struct {
	Record      *Record
	Network     *Network
	Store       *Store
	Cloud       *Cloud
	Jobs        *Jobs
	Controllers []*Controller
	User        *User
	Trouble     bool // false: the case runs without its disruption

	folder string
}

// Exit codes of a case.
const (
	RuleHeld   = 0
	RuleBroken = 1
	NotRun     = 2
)

// Options change a world.
type Options struct {
	Site     Site
	Types    []wire.MachineType
	Capacity map[Pool]int // of the cloud, beside the machines that are added
	OnTask   func(TaskEvent)
	// StoreLinks gives each controller's link to the store a name, StoreLink, with which it can be cut.
	StoreLinks bool
	// PeerLinks gives the link between two controllers a name, PeerLink.
	PeerLinks bool
}

// Main runs a case and ends the process with its exit code.
func Main(options Options, run func(ctx context.Context, w *World) (code int, err error)) {
	code := NotRun
	defer func() { os.Exit(code) }()
	w, err := start(options)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer w.end()
	const limit = 115 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	code, err = run(ctx, w)
	if err != nil {
		w.Record.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = NotRun
		return
	}
	w.Record.Add("exit code %d", code)
	fmt.Printf("exit code %d\n", code)
}

func start(options Options) (w *World, err error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	record, err := NewRecord(os.Getenv("RECORD"))
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	w = &World{
		Record: record, Network: NewNetwork(), Store: NewStore(record, options.Site.State), Jobs: NewJobs(),
		Trouble: os.Getenv("TROUBLE") != "0", folder: folder,
	}
	defer func() {
		if err != nil {
			w.end()
		}
	}()
	record.Add("trouble: %v", w.Trouble)
	var workers WorkerConfig
	w.Cloud = NewCloud(record, options.Types, options.Capacity, seconds(options.Site.LagS), options.Site.CloudRPS,
		func(machine wire.Machine) *Worker { return StartWorker(workers, machine) })
	if w.Controllers, err = w.controllers(options, root); err != nil {
		return nil, err
	}
	workers = WorkerConfig{
		Record: record, Report: seconds(options.Site.ReportS), Lease: seconds(options.Site.LeaseS), Jobs: w.Jobs,
		Network: w.Network, MachineTypes: options.Types, OnTask: options.OnTask,
	}
	for _, c := range w.Controllers {
		workers.Nodes = append(workers.Nodes, Node{c.Name, c.Addr})
	}
	w.User = NewUser(record, w.Controllers)
	return w, nil
}

func (w *World) controllers(options Options, root string) ([]*Controller, error) {
	var failed error
	service := func(serve func(name string) (string, error)) func(string) string {
		return func(name string) string {
			addr, err := serve(name)
			if err != nil {
				failed = err
			}
			return addr
		}
	}
	storeAddr := service(func(name string) (string, error) {
		listener, err := listenLoopback()
		if err != nil {
			return "", err
		}
		w.Store.Serve(listener, name)
		if !options.StoreLinks {
			return listener.Addr().String(), nil
		}
		proxy, err := NewProxy(w.Network, StoreLink(name), listener.Addr().String())
		if err != nil {
			return "", err
		}
		return proxy.Addr(), nil
	})
	cloudAddr := service(func(string) (string, error) {
		listener, err := listenLoopback()
		if err != nil {
			return "", err
		}
		w.Cloud.Serve(listener)
		return listener.Addr().String(), nil
	})
	peerAddr := func(from, to *Controller) string {
		if !options.PeerLinks {
			return to.Peer
		}
		return service(func(string) (string, error) {
			proxy, err := NewProxy(w.Network, PeerLink(from.Name, to.Name), to.Peer)
			if err != nil {
				return "", err
			}
			return proxy.Addr(), nil
		})(to.Name)
	}
	controllers, err := Controllers(w.Record, options.Site, root, w.folder, storeAddr, cloudAddr, peerAddr)
	if failed != nil {
		err = failed
	}
	return controllers, err
}

// StoreLink returns the name of a controller's link to the store.
func StoreLink(controller string) string { return controller + " to the store" }

// PeerLink returns the name of the link between two controllers.
func PeerLink(a, b string) string { return min(a, b) + " and " + max(a, b) }

// Folder returns the temporary folder of the case.
func (w *World) Folder() string { return w.folder }

// Run runs the program with arguments, records its output and returns its exit status.
func (w *World) Run(ctx context.Context, args ...string) int {
	program := w.Controllers[0].command[0]
	began := time.Now()
	w.Record.Add("run: saffronbend %s", strings.Join(args, " "))
	process := exec.CommandContext(ctx, program, args...)
	output, _ := process.CombinedOutput() // the exit status is recorded
	status := process.ProcessState.ExitCode()
	w.Record.Add("run: exit status %d after %.1f s: %s", status, time.Since(began).Seconds(),
		strings.ReplaceAll(strings.TrimSpace(string(output)), "\n", " | "))
	return status
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// StartControllers starts all controllers and waits until they are healthy.
func (w *World) StartControllers(ctx context.Context) error {
	for _, c := range w.Controllers {
		if err := c.Start(); err != nil {
			return err
		}
	}
	for _, c := range w.Controllers {
		if !WaitFor(ctx, 20*time.Second, c.Healthy) {
			return fmt.Errorf("%s is not healthy", c.Name)
		}
	}
	return nil
}

// KillLeader kills the controller that the leader's record names.
func (w *World) KillLeader() {
	for _, c := range w.Controllers {
		if strings.Contains(string(w.Store.Get("leader")), fmt.Sprintf("%q", c.Name)) {
			c.Kill()
			return
		}
	}
}

// Accept submits a job whose tasks run for a time, and fails unless it is accepted.
func (w *World) Accept(ctx context.Context, job wire.Job, run time.Duration) error {
	w.Jobs.Upload(job, run)
	if status := w.User.Submit(ctx, job); status != http.StatusCreated && status != http.StatusOK {
		return fmt.Errorf("job %s: status %d", job.ID, status)
	}
	return nil
}

// end ends all processes, and keeps the controllers' logs if LOGS names a folder.
func (w *World) end() {
	for _, c := range w.Controllers {
		c.Signal(18) // SIGCONT: a stopped process is killed as well, but its end is reported sooner
		c.Kill()
	}
	if logs := os.Getenv("LOGS"); logs != "" {
		for _, c := range w.Controllers {
			if text, err := os.ReadFile(c.logFile); err == nil {
				_ = os.WriteFile(filepath.Join(logs, c.Name+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.folder)
}
