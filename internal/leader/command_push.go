package leader

import (
	"context"
	"errors"

	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/worker"
)

// pushCommands pushes commands that must not wait for the machine's next heartbeat. While the processor is overloaded,
// launches are not pushed but wait for heartbeats: a push takes several times the work of a heartbeat, whose response
// can carry the launch as well.
func (t *Term) pushCommands(ctx context.Context, now micros.Timestamp) {
	mayLaunch := t.leaseValid(now) && !t.tickDelay.late
	for _, push := range t.manager.CommandPushes(now, mayLaunch) {
		t.recordCommands("pushing commands", push.Machine, push.Body.Commands)
		t.loop.Go(func() { t.pushCommand(ctx, push) })
	}
}

func (t *Term) pushCommand(ctx context.Context, push manager.CommandPush) {
	executed, heartbeat, err := t.cfg.Workers.PushCommands(ctx, push.Addr, push.Body)
	if err != nil {
		t.cfg.Log.Debug("no response to a command push", "machine", push.Machine, "error", err)
	}
	t.loop.Post(ctx, func(now micros.Timestamp) {
		if t.manager.CommandPushDone(now, push, pushOutcome(executed, err), heartbeat) {
			t.loop.Go(func() { t.stepDown(reasonHigherToken) })
		}
	})
}

// pushOutcome maps the result of a command push to its outcome.
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
