package fleet

import (
	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// The reasons for which unhealthy machines are deleted, beside those of a quarantine. Operators see them in the log.
const (
	reasonFailed      = "failed"       // the cloud says so
	reasonNotUp       = "boot timeout" // no heartbeat long after its boot time
	reasonReclaimed   = "reclaimed"    // silent, and no longer listed by the cloud
	reasonSilent      = "silent"       // no heartbeats
	reasonUnreachable = "unreachable"  // its heartbeats arrive, but responses and commands don't reach it
)

// defaultBootTime stands for the boot time of a machine whose type isn't known.
const defaultBootTime = 60 * micros.Second

// scaleInUnhealthy deletes machines that are of no use.
func (f *Fleet) scaleInUnhealthy(published *snapshot.Snapshot, actions *Actions) {
	for _, machine := range published.Machines {
		if machine.Deleting {
			continue
		}
		if reason := f.unhealthyReason(machine, published.Now); reason != "" {
			actions.scaleIn(machine.ID, reason)
		}
	}
}

// unhealthyReason returns why a machine is of no use; empty if it is, or may be.
func (f *Fleet) unhealthyReason(machine *snapshot.Machine, now micros.Timestamp) string {
	switch {
	case machine.Failed:
		return reasonFailed
	case machine.State == wire.MachineStarting:
		if !machine.Reporting && now.Sub(machine.RegisteredAt) > f.bootTimeout(machine) {
			return reasonNotUp
		}
	default:
		if reason := f.silenceReason(machine, now); reason != "" {
			return reason
		}
	}
	switch {
	case machine.UnreachableSince != 0 && now.Sub(machine.UnreachableSince) > f.shortSilenceTimeout():
		return reasonUnreachable
	case machine.Reporting && machine.ProvenIdle():
		return machine.QuarantineReason
	}
	return ""
}

// silenceReason returns why a machine that has started and sends no heartbeats is deleted; empty if it isn't.
func (f *Fleet) silenceReason(machine *snapshot.Machine, now micros.Timestamp) string {
	silence := now.Sub(machine.LastHeartbeat)
	switch {
	case machine.Unlisted && silence > 2*f.cfg.HeartbeatInterval+micros.Second:
		return reasonReclaimed
	case silence > f.cfg.LeaseDuration+f.cfg.Tuning.SilenceTimeout:
		return reasonSilent
	case machine.NeedsDeletion && silence > f.shortSilenceTimeout():
		return reasonSilent
	}
	return ""
}

// shortSilenceTimeout is the time after which a machine is deleted that can't be reached, or whose tasks end only
// with it.
func (f *Fleet) shortSilenceTimeout() micros.Duration {
	return f.cfg.LeaseDuration + f.cfg.Tuning.SilenceTimeout/2
}

// bootTimeout is the time after which a machine that sends no heartbeat is taken not to come up.
func (f *Fleet) bootTimeout(machine *snapshot.Machine) micros.Duration {
	bootTime := defaultBootTime
	if machineType := f.machineType(machine.Type); machineType != nil {
		bootTime = micros.Seconds(machineType.BootS)
	}
	return bootTime.Scale(f.cfg.Tuning.BootTimeoutFactor)
}
