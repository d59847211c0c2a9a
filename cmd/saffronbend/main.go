// Command saffronbend runs a controller of the saffronbend cluster scheduler, and is
// its users' client.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"saffronbend"
	"saffronbend/internal/settings"
)

// version is the release's number.
const version = "0.2.0"

type cli struct {
	Config  string           `help:"The platform's settings file (TOML)." placeholder:"FILE"`
	Options string           `help:"The operators' options (protobuf text format)." placeholder:"FILE"`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Run   runCmd   `cmd:"" default:"1" help:"Run a controller until it is killed (default)."`
	Check checkCmd `cmd:"" help:"Check the settings and the options, and exit."`
	Job   jobCmd   `cmd:"" help:"Submit, ask about and withdraw jobs."`
	Drain drainCmd `cmd:"" help:"Empty and return machines in steps."`

	Spread spreadCmd `cmd:"" help:"Watch, pause and resume moves of running work between machines."`
}

type (
	runCmd   struct{}
	checkCmd struct{}
)

func (c *cli) load() (*settings.Settings, error) {
	if c.Config == "" {
		return nil, errors.New("--config FILE is missing")
	}
	return settings.Load(c.Config, c.Options)
}

func logLevel() (slog.Level, error) {
	switch l := os.Getenv("LOG_LEVEL"); l {
	case "error":
		return slog.LevelError, nil
	case "", "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	default:
		return 0, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", l)
	}
}

// Run runs a controller.
func (runCmd) Run(c *cli) error {
	level, err := logLevel()
	if err != nil {
		return err
	}
	set, err := c.load()
	if err != nil {
		return err
	}
	// The process is ended when it holds more memory than its limit. Little of it is used,
	// and the processor is dearer: garbage may pile up further than usual before it is
	// collected.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(set.RuntimeMemoryLimit())
	runtime.GOMAXPROCS(int(math.Ceil(set.Deployment.Limits.CoreShare)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	for _, t := range set.Warnings() {
		log.Warn("the settings are tight", "what", t)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return saffronbend.New(set, saffronbend.NewTCP(), log).Run(ctx)
}

// Run checks the settings.
func (checkCmd) Run(c *cli) error {
	if _, err := logLevel(); err != nil {
		return err
	}
	set, err := c.load()
	if err != nil {
		return err
	}
	for _, c := range set.Capacities() {
		fmt.Printf("%s suffices for %d machines\n", c.Setting, c.Machines)
	}
	for _, t := range set.Warnings() {
		fmt.Println("tight:", t)
	}
	fmt.Println("settings and options are sound")
	return nil
}

func main() {
	var c cli
	ctx := kong.Parse(&c,
		kong.Name("saffronbend"),
		kong.Description("A cluster scheduler: places users' tasks on rented machines."),
		kong.Vars{"version": "saffronbend " + version})
	ctx.FatalIfErrorf(ctx.Run(&c))
}
