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
	// checkInterval is the time between two checks of a condition that a step waits for.
	checkInterval = 100 * time.Millisecond
	// readyTimeout bounds the time for each controller to become healthy, and then for the election of a leader.
	readyTimeout = 10 * time.Second
)

// errConditionHolds is the error of a condition that holds although it must not.
var errConditionHolds = errors.New("the condition holds")

// errUnknownCondition is the error of a condition that conditionDefinitions does not contain.
var errUnknownCondition = errors.New("unknown condition")

func (h *harness) ready(ctx context.Context, _ arguments) error {
	for _, member := range h.members {
		if err := h.waitFor(ctx, readyTimeout, "healthy", member, "yes"); err != nil {
			return err
		}
	}
	return h.waitFor(ctx, readyTimeout, "leader", "any")
}

func (h *harness) wait(_ context.Context, args arguments) error {
	time.Sleep(parseSeconds(args.words[0]))
	return nil
}

func (h *harness) until(ctx context.Context, args arguments) error {
	return h.waitFor(ctx, parseSeconds(args.words[0]), args.words[1:]...)
}

func (h *harness) never(ctx context.Context, args arguments) error {
	end := time.Now().Add(parseSeconds(args.words[0]))
	for ; time.Now().Before(end); time.Sleep(checkInterval) {
		err := h.check(ctx, args.words[1:])
		if err == nil {
			return errConditionHolds
		}
		if errors.Is(err, errUnknownCondition) || errors.Is(err, errMissingArguments) {
			return err // the condition is malformed and could never hold
		}
	}
	return nil
}

func (h *harness) checkNow(ctx context.Context, args arguments) error {
	return h.check(ctx, args.words)
}

// waitFor waits until a condition holds. After the timeout it returns the error of the last check.
func (h *harness) waitFor(ctx context.Context, timeout time.Duration, condition ...string) error {
	end := time.Now().Add(timeout)
	for {
		err := h.check(ctx, condition)
		if err == nil || !time.Now().Before(end) {
			return err
		}
		time.Sleep(checkInterval)
	}
}

// checkRecovery checks the system for a while after faults: every running controller must respond to polls of each
// accepted job, with no gap longer than responseTimeout, and no job may wait while machines have the capacity for it.
func (h *harness) checkRecovery(ctx context.Context, args arguments) error {
	const (
		interval        = 5 * time.Second
		responseTimeout = 75 * time.Second
	)
	start := time.Now()
	lastResponded := map[wire.JobID]time.Time{} // last time at which all running controllers responded
	for end := start.Add(parseSeconds(args.words[0])); time.Now().Before(end); time.Sleep(interval) {
		for _, id := range h.checker.AcceptedJobs() {
			everywhere, err := h.respondEverywhere(ctx, id)
			if err != nil {
				return err
			}
			since, before := lastResponded[id]
			if !before {
				since = start
			}
			if everywhere {
				lastResponded[id] = time.Now()
			} else if time.Since(since) > responseTimeout {
				return fmt.Errorf("the controllers have not all responded to a poll of %s for %s", id, time.Since(since))
			}
		}
		h.checker.CheckStarvation(h.cloud.RunningMachines())
	}
	return nil
}

// respondEverywhere reports whether every running controller responds to a poll of a job with code 200.
func (h *harness) respondEverywhere(ctx context.Context, id wire.JobID) (bool, error) {
	everywhere := true
	for _, member := range h.members {
		code, _, err := h.poll(ctx, member, id)
		if err != nil {
			return false, err
		}
		if code != http.StatusOK && h.controllers[member].running() {
			everywhere = false
		}
	}
	return everywhere, nil
}
