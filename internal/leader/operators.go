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

// runCommand executes an operator's command. If the leader can't make the command durable now, for whatever reason, the
// error is operator.ErrUnavailable.
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

// RebalancingStatus returns the status of rebalancing with the given number of the most loaded machines. Rebalancing
// must be enabled.
func (t *Term) RebalancingStatus(ctx context.Context, machines int) (rebalance.Status, error) {
	return runCommand(ctx, t, func(ctx context.Context) (rebalance.Status, error) {
		return t.rebalancer.Status(ctx, machines)
	})
}

// PauseRebalancing pauses or resumes rebalancing. Rebalancing must be enabled.
func (t *Term) PauseRebalancing(ctx context.Context, paused bool) (rebalance.Status, error) {
	return runCommand(ctx, t, func(ctx context.Context) (rebalance.Status, error) {
		if err := t.rebalancer.SetPaused(ctx, paused); err != nil {
			return rebalance.Status{}, err
		}
		return t.rebalancer.Status(ctx, statusMachines)
	})
}
