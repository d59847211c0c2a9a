package main

import (
	"strings"
	"testing"
)

// The rebalancing commands reject invalid requests with a one-line reason, and the status shows whether rebalancing is
// paused.
func TestRebalancingCommands(t *testing.T) {
	_, cluster := startControllerWith(t, []byte("drains { enabled: true } spread { enabled: true moves_per_minute: 5 }"))
	flag := "--cluster=" + cluster
	const pausedStatus = "moves are paused\nload is known of 0 machines"
	checkCommand(t, "spread pause", flag, pausedStatus, "")
	checkCommand(t, "spread pause", flag, pausedStatus, "")
	checkCommand(t, "spread status", flag, pausedStatus, "")
	checkCommand(t, "spread resume now", flag, "", "unexpected argument now")
	got, err := runCommand(t, "spread", flag, "resume")
	if err != nil || !strings.HasPrefix(got, "nothing is moved: ") || strings.Contains(got, "paused") {
		t.Errorf("spread resume: got output %q and error %v", got, err)
	}
	_, disabled := startControllerWith(t, []byte("drains { enabled: true }"))
	checkCommand(t, "spread status", "--cluster="+disabled, "",
		"moves are switched off: set spread { enabled: true } in the options")
	checkCommand(t, "spread pause", "--cluster="+disabled, "",
		"moves are switched off: set spread { enabled: true } in the options")
	checkCommand(t, "spread status", "--cluster="+freeAddr(t), "", "connection refused")
}
