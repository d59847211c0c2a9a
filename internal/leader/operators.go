package leader

import (
	"context"
	"errors"
	"time"

	"saffronbend/internal/drain"
	"saffronbend/internal/eventloop"
	"saffronbend/internal/operator"
	"saffronbend/internal/rebalance"
	"saffronbend/internal/state"
)

const (
	// commandTimeout is how long an operator's command may take before it fails with operator.ErrUnavailable.
	commandTimeout = 3 * time.Second
	// recoveryTimeout is how long a command waits for a new leader to recover its state from the stored records.
	recoveryTimeout = 250 * time.Millisecond
	// statusMachines is the number of machines in the status that PauseRebalancing returns.
	statusMachines = 5
)

// runCommand executes an operator's command. The error is operator.ErrUnavailable if the term isn't recovered within
// recoveryTimeout, if the store doesn't serve this controller (state.ErrUnavailable), if the term ends
// (eventloop.ErrStopped), or if the command takes longer than commandTimeout. In the last two cases, the command may
// have taken effect, or may still take effect. Other errors of execute are returned unchanged.
func runCommand[T any](ctx context.Context, t *Term, execute func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var zero T
	if !t.awaitRecoveryFor(ctx, recoveryTimeout) {
		return zero, operator.ErrUnavailable
	}
	result, err := execute(ctx)
	for _, unavailable := range []error{state.ErrUnavailable, eventloop.ErrStopped, context.DeadlineExceeded} {
		if errors.Is(err, unavailable) {
			return zero, operator.ErrUnavailable
		}
	}
	return result, err
}

func (t *Term) awaitRecoveryFor(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.awaitRecovery(ctx)
}

// StartDrain starts a drain and makes it durable. The errors of this and the other commands are those of packages
// operator and drain.
func (t *Term) StartDrain(ctx context.Context, request drain.Request) (drain.Status, error) {
	return runCommand(ctx, t, func(ctx context.Context) (drain.Status, error) { return t.drains.Start(ctx, request) })
}

// ChangeDrain pauses, resumes or cancels a drain.
func (t *Term) ChangeDrain(ctx context.Context, name string, to drain.State) (drain.Status, error) {
	return runCommand(ctx, t, func(ctx context.Context) (drain.Status, error) {
		return t.drains.ChangeState(ctx, name, to)
	})
}

// ListDrains returns the status of the drain with the given name, or of all drains if name is "".
func (t *Term) ListDrains(ctx context.Context, name string) ([]drain.Status, error) {
	return runCommand(ctx, t, func(ctx context.Context) ([]drain.Status, error) { return t.drains.List(ctx, name) })
}

// RebalancingStatus returns the status of rebalancing with the given number of the most loaded machines. The caller has
// checked that the options enable rebalancing.
func (t *Term) RebalancingStatus(ctx context.Context, machines int) (rebalance.Status, error) {
	return runCommand(ctx, t, func(ctx context.Context) (rebalance.Status, error) {
		return t.rebalancer.Status(ctx, machines)
	})
}

// PauseRebalancing pauses or resumes rebalancing and returns the status. The caller has checked that the options enable
// rebalancing.
func (t *Term) PauseRebalancing(ctx context.Context, paused bool) (rebalance.Status, error) {
	return runCommand(ctx, t, func(ctx context.Context) (rebalance.Status, error) {
		if err := t.rebalancer.SetPaused(ctx, paused); err != nil {
			return rebalance.Status{}, err
		}
		// If this call fails, rebalancing is paused or resumed nevertheless. The operator may repeat the command.
		return t.rebalancer.Status(ctx, statusMachines)
	})
}
