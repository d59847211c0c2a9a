package fleet

import (
	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// The reasons for deleting unhealthy machines, in addition to the reasons for a quarantine. Operators see them in the
// log.
const (
	reasonFailed      = "failed"       // the cloud reports the machine as failed
	reasonBootTimeout = "boot timeout" // no heartbeat long after the machine should have booted
	reasonReclaimed   = "reclaimed"    // the machine sends no heartbeats and the cloud no longer lists it
	reasonSilent      = "silent"       // the machine sends no heartbeats
	reasonUnreachable = "unreachable"  // heartbeats arrive, but responses and commands don't reach the machine
)

// defaultBootTime is the assumed boot time of a machine whose type isn't known.
const defaultBootTime = 60 * micros.Second

// scaleInUnhealthy deletes machines that can no longer be used.
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

// unhealthyReason returns why a machine can no longer be used; empty if it can, or if that isn't known yet.
func (f *Fleet) unhealthyReason(machine *snapshot.Machine, now micros.Timestamp) string {
	switch {
	case machine.Failed:
		return reasonFailed
	case machine.State == wire.MachineStarting:
		if !machine.Reporting && now.Sub(machine.RegisteredAt) > f.bootTimeout(machine) {
			return reasonBootTimeout
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

// silenceReason returns why a machine is deleted that has started but sends no heartbeats; empty if it isn't deleted.
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

// shortSilenceTimeout is the time without contact after which a machine is deleted if commands don't reach it, or if
// only its deletion proves that its tasks have ended.
func (f *Fleet) shortSilenceTimeout() micros.Duration {
	return f.cfg.LeaseDuration + f.cfg.Tuning.SilenceTimeout/2
}

// bootTimeout is the time since its registration after which a machine without a heartbeat is taken to have failed to
// boot.
func (f *Fleet) bootTimeout(machine *snapshot.Machine) micros.Duration {
	bootTime := defaultBootTime
	if machineType := f.machineType(machine.Type); machineType != nil {
		bootTime = micros.Seconds(machineType.BootS)
	}
	return bootTime.Scale(f.cfg.Tuning.BootTimeoutFactor)
}
