package leader

import (
	"context"
	"errors"

	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/worker"
)

// pushCommands sends the commands that don't wait for a machine's next heartbeat. While the processor does not keep
// up, launches wait for heartbeats: a push takes several times the work of a heartbeat, whose response can carry the
// launch too.
func (t *Term) pushCommands(ctx context.Context, now micros.Timestamp) {
	mayLaunch := t.leaseValid(now) && !t.tickDelay.late
	for _, push := range t.manager.CommandPushes(now, mayLaunch) {
		t.loop.Go(func() { t.pushCommand(ctx, push) })
	}
}

func (t *Term) pushCommand(ctx context.Context, push manager.CommandPush) {
	executed, heartbeat, err := t.cfg.Workers.PushCommands(ctx, push.Addr, push.Body)
	if err != nil {
		t.cfg.Log.Debug("a command push was not answered", "machine", push.Machine, "error", err)
	}
	t.loop.Post(ctx, func(now micros.Timestamp) {
		if t.manager.CommandPushDone(now, push, pushOutcome(executed, err), heartbeat) {
			t.loop.Go(func() { t.stepDown(reasonHigherToken) })
		}
	})
}

// pushOutcome returns what is known of a command push.
func pushOutcome(executed bool, err error) manager.PushOutcome {
	switch {
	case executed:
		return manager.PushExecuted
	case errors.Is(err, worker.ErrNotSent):
		return manager.PushNotSent
	case err != nil:
		return manager.PushOutcomeUnknown
	}
	return manager.PushRefused
}
