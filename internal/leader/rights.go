package leader

import (
	"log/slog"

	"saffronbend/internal/metrics"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// rightsLog logs when a term gains or loses the right to launch tasks, and the right to renew worker leases. It is
// owned by the event loop's goroutine. A new term has neither.
type rightsLog struct {
	mayLaunch, mayRenew bool
}

// record logs the changes since the last call. resolvedAt is the time up to which the term knows all cancellations.
func (r *rightsLog) record(
	log *slog.Logger, mayLaunch, mayRenew bool, now micros.Timestamp, resolvedAt micros.OptionalTimestamp,
) {
	if mayLaunch == r.mayLaunch && mayRenew == r.mayRenew {
		return
	}
	r.mayLaunch, r.mayRenew = mayLaunch, mayRenew
	log.Info("rights of the term have changed", "may_launch", mayLaunch, "may_renew_worker_leases", mayRenew,
		"cancellations_known_until", resolvedAt.Age(now))
}

// recordCommands counts the commands that are sent to a machine, and logs them at debug level.
func (t *Term) recordCommands(message string, machine wire.MachineID, commands []wire.Command) {
	t.cfg.Metrics.CommandsSent(metrics.Leader, commands)
	if len(commands) > 0 {
		t.cfg.Log.Debug(message, "fencing_token", t.token, "machine", machine, "commands", commands)
	}
}
