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
	// commandTimeout is how long an operator's command may take before it is unavailable.
	commandTimeout = 3 * time.Second
	// recoveryTimeout is how long a command waits for a new leader that reads its records.
	recoveryTimeout = 250 * time.Millisecond
	// machinesAfterPause is how many machines' loads are returned after a change.
	machinesAfterPause = 5
)

// command carries out an operator's command. Whatever keeps the leader from making it durable is
// operator.ErrUnavailable.
func command[T any](ctx context.Context, t *Term, carryOut func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var none T
	if !t.awaitRecoveryFor(ctx, recoveryTimeout) {
		return none, operator.ErrUnavailable
	}
	result, err := carryOut(ctx)
	for _, unavailable := range []error{state.ErrUnavailable, eventloop.ErrStopped, context.DeadlineExceeded} {
		if errors.Is(err, unavailable) {
			return none, operator.ErrUnavailable
		}
	}
	return result, err
}

func (t *Term) awaitRecoveryFor(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.awaitRecovery(ctx)
}

// StartDrain makes a drain durable. The errors of this and the other commands are those of packages operator and drain.
func (t *Term) StartDrain(ctx context.Context, request drain.Request) (drain.Status, error) {
	return command(ctx, t, func(ctx context.Context) (drain.Status, error) { return t.drains.Start(ctx, request) })
}

// ChangeDrain pauses, resumes or cancels a drain.
func (t *Term) ChangeDrain(ctx context.Context, name string, to drain.State) (drain.Status, error) {
	return command(ctx, t, func(ctx context.Context) (drain.Status, error) { return t.drains.ChangeState(ctx, name, to) })
}

// ListDrains returns the drain of a name, or all drains if name is "".
func (t *Term) ListDrains(ctx context.Context, name string) ([]drain.Status, error) {
	return command(ctx, t, func(ctx context.Context) ([]drain.Status, error) { return t.drains.List(ctx, name) })
}

// RebalancingStatus returns load and moves. Rebalancing must be enabled.
func (t *Term) RebalancingStatus(ctx context.Context, machines int) (rebalance.Status, error) {
	return command(ctx, t, func(ctx context.Context) (rebalance.Status, error) {
		return t.rebalancer.Status(ctx, machines)
	})
}

// PauseRebalancing pauses moves or resumes them. Rebalancing must be enabled.
func (t *Term) PauseRebalancing(ctx context.Context, paused bool) (rebalance.Status, error) {
	return command(ctx, t, func(ctx context.Context) (rebalance.Status, error) {
		if err := t.rebalancer.SetPaused(ctx, paused); err != nil {
			return rebalance.Status{}, err
		}
		return t.rebalancer.Status(ctx, machinesAfterPause)
	})
}
