package scenario

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"saffronbend/wire"
)

const (
	// checkInterval is how often a condition is checked that is waited for.
	checkInterval = 100 * time.Millisecond
	// readyTimeout bounds how long controllers may take to start, and then to elect a leader.
	readyTimeout = 10 * time.Second
)

// errHolds is the error of a condition that must never hold.
var errHolds = errors.New("the condition holds")

// errUnknownCondition is the error of a condition that is not in the table.
var errUnknownCondition = errors.New("unknown condition")

func (w *world) ready(ctx context.Context, _ arguments) error {
	for _, member := range w.members {
		if err := w.waitFor(ctx, readyTimeout, "healthy", member, "yes"); err != nil {
			return err
		}
	}
	return w.waitFor(ctx, readyTimeout, "leader", "any")
}

func (w *world) wait(_ context.Context, args arguments) error {
	time.Sleep(secondsOf(args.words[0]))
	return nil
}

func (w *world) until(ctx context.Context, args arguments) error {
	return w.waitFor(ctx, secondsOf(args.words[0]), args.words[1:]...)
}

func (w *world) never(ctx context.Context, args arguments) error {
	end := time.Now().Add(secondsOf(args.words[0]))
	for ; time.Now().Before(end); time.Sleep(checkInterval) {
		err := w.check(ctx, args.words[1:])
		if err == nil {
			return errHolds
		}
		if errors.Is(err, errUnknownCondition) || errors.Is(err, errMissing) {
			return err // such a condition could never hold
		}
	}
	return nil
}

func (w *world) checkNow(ctx context.Context, args arguments) error {
	return w.check(ctx, args.words)
}

// waitFor waits until a condition holds. After the timeout it returns what is wanting.
func (w *world) waitFor(ctx context.Context, timeout time.Duration, condition ...string) error {
	end := time.Now().Add(timeout)
	for {
		err := w.check(ctx, condition)
		if err == nil || !time.Now().Before(end) {
			return err
		}
		time.Sleep(checkInterval)
	}
}

// calm lets time pass without faults: each accepted job must be answered for by every controller that runs, and none
// may wait beside room.
func (w *world) calm(ctx context.Context, args arguments) error {
	const (
		interval  = 5 * time.Second
		forgotten = 75 * time.Second
	)
	begun := time.Now()
	answered := map[wire.JobID]time.Time{} // when a job was last answered for, by its id
	for end := begun.Add(secondsOf(args.words[0])); time.Now().Before(end); time.Sleep(interval) {
		for _, id := range w.checker.AcceptedJobs() {
			everywhere, err := w.answeredEverywhere(ctx, id)
			if err != nil {
				return err
			}
			since, before := answered[id]
			if !before {
				since = begun
			}
			if everywhere {
				answered[id] = time.Now()
			} else if time.Since(since) > forgotten {
				return fmt.Errorf("no question about %s is answered for %s", id, time.Since(since))
			}
		}
		w.checker.CheckStarvation(w.cloud.RunningMachines())
	}
	return nil
}

// answeredEverywhere reports whether every controller that runs answers for a job.
func (w *world) answeredEverywhere(ctx context.Context, id wire.JobID) (bool, error) {
	everywhere := true
	for _, member := range w.members {
		code, _, err := w.poll(ctx, member, id)
		if err != nil {
			return false, err
		}
		if code != http.StatusOK && w.nodes[member].running() {
			everywhere = false
		}
	}
	return everywhere, nil
}
