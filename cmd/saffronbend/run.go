package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"saffronbend"
)

// gcPercent is the heap growth, in percent, that triggers a garbage collection. It is higher than Go's default because
// the controller uses little of its memory limit and CPU time is scarcer. Near the memory limit, beyond which the
// process is killed, the runtime collects more often regardless of this value.
const gcPercent = 400

// runCmd runs a controller.
type runCmd struct{}

// Run runs a controller until the process receives SIGINT or SIGTERM, or the controller fails.
func (runCmd) Run(c *cli) error {
	level, err := logLevel()
	if err != nil {
		return err
	}
	loaded, err := c.load()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(loaded.RuntimeMemoryLimit())
	runtime.GOMAXPROCS(int(math.Ceil(loaded.Deployment.Limits.CoreShare)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	for _, warning := range loaded.Warnings() {
		log.Warn("a setting leaves little headroom", "what", warning)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return saffronbend.New(loaded, saffronbend.NewTCP(), log).Run(ctx)
}

// checkCmd validates the settings and the options.
type checkCmd struct{}

// Run prints the number of machines that each setting suffices for, and the settings that leave little headroom. It
// fails if the settings or the options are invalid.
func (checkCmd) Run(c *cli) error {
	if _, err := logLevel(); err != nil {
		return err
	}
	loaded, err := c.load()
	if err != nil {
		return err
	}
	for _, capacity := range loaded.Capacities() {
		fmt.Printf("%s suffices for %d machines\n", capacity.Setting, capacity.Machines)
	}
	for _, warning := range loaded.Warnings() {
		fmt.Println("tight:", warning)
	}
	fmt.Println("settings and options are sound")
	return nil
}

// logLevel returns the log level that the environment variable LOG_LEVEL specifies.
func logLevel() (slog.Level, error) {
	switch level := os.Getenv("LOG_LEVEL"); level {
	case "error":
		return slog.LevelError, nil
	case "", "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	default:
		return 0, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", level)
	}
}
