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

// garbagePercent is the growth of the heap after which garbage is collected. The process is ended when it holds more
// memory than its limit, which the collector heeds by itself; little of that is used, and processor time is dearer.
// Garbage may therefore pile up further than usual.
const garbagePercent = 400

// runCmd runs a controller.
type runCmd struct{}

// Run runs a controller until the process is told to end, or until the controller fails.
func (runCmd) Run(c *cli) error {
	level, err := logLevel()
	if err != nil {
		return err
	}
	loaded, err := c.load()
	if err != nil {
		return err
	}
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(loaded.RuntimeMemoryLimit())
	runtime.GOMAXPROCS(int(math.Ceil(loaded.Deployment.Limits.CoreShare)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	for _, warning := range loaded.Warnings() {
		log.Warn("the settings are tight", "what", warning)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return saffronbend.New(loaded, saffronbend.NewTCP(), log).Run(ctx)
}

// checkCmd checks the settings and the options.
type checkCmd struct{}

// Run prints for how many machines each setting suffices, and what is tight. It fails if the settings or the options
// are not sound.
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

// logLevel returns the level that the environment asks for.
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
