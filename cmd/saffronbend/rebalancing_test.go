package main

import (
	"strings"
	"testing"
)

// An operator's way through moves of running work: what can't be done says why in one line, and a pause is shown.
func TestRebalancingCommands(t *testing.T) {
	_, cluster := controllerWith(t, []byte("drains { enabled: true } spread { enabled: true moves_per_minute: 5 }"))
	flag := "--cluster=" + cluster
	const paused = "moves are paused\nload is known of 0 machines"
	expect(t, "spread pause", flag, paused, "")
	expect(t, "spread pause", flag, paused, "")
	expect(t, "spread status", flag, paused, "")
	expect(t, "spread resume now", flag, "", "unexpected argument now")
	got, err := command(t, "spread", flag, "resume")
	if err != nil || !strings.HasPrefix(got, "nothing is moved: ") || strings.Contains(got, "paused") {
		t.Errorf("spread resume: %q, %v", got, err)
	}
	_, off := controllerWith(t, []byte("drains { enabled: true }"))
	expect(t, "spread status", "--cluster="+off, "", "moves are switched off: set spread { enabled: true } in the options")
	expect(t, "spread pause", "--cluster="+off, "", "moves are switched off: set spread { enabled: true } in the options")
	expect(t, "spread status", "--cluster="+freeAddr(t), "", "connection refused")
}
