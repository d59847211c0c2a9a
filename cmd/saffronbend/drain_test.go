package main

import (
	"strings"
	"testing"
	"time"
)

// The drain commands reject invalid requests with a one-line reason and leave the drains unchanged.
func TestDrainCommands(t *testing.T) {
	_, cluster := startControllerWith(t, []byte("drains { enabled: true }"))
	flag := "--cluster=" + cluster
	for _, step := range []struct{ command, want, wantErr string }{
		{command: "drain start old --zone=a", wantErr: "no machine matches"},
		{command: "drain start old --machine=n-000001", wantErr: "no such machine: n-000001"},
		{command: "drain start old", wantErr: "a drain needs machines, a zone, a type or an age"},
		{command: "drain start old --zone=a --budget=green=1", wantErr: `no such team: "green"`},
		{command: "drain start old --zone=a --budget=red=-1",
			wantErr: `"-1": a budget is a number of tasks such as "3" or a share of the running ones such as "10%"`},
		{command: "drain start -- -old --zone=a", wantErr: "unexpected argument --zone=a"},
		{command: "drain start old --zone=a --deadline=-1s", wantErr: "a deadline and an age are at least 0 s"},
		{command: "drain start old --zone=a --step=1001", wantErr: "a step has at most 1000 machines"},
		{command: "drain status old", wantErr: "no such drain"},
		{command: "drain status", want: ""},
		{command: "drain pause old", wantErr: "no such drain"},
		{command: "drain resume old", wantErr: "no such drain"},
		{command: "drain cancel old", wantErr: "no such drain"},
	} {
		checkCommand(t, step.command, flag, step.want, step.wantErr)
	}
	_, disabled := startControllerWith(t, nil)
	checkCommand(t, "drain status", "--cluster="+disabled, "",
		"drains are switched off: set drains { enabled: true } in the options")
	checkCommand(t, "drain status", "--cluster="+freeAddr(t), "", "connection refused")
}

// checkCommand runs a command with a flag and checks that it prints want, or that it fails with a one-line error that
// contains wantErr. It retries while the controller is starting and responds that the client should try again.
func checkCommand(t *testing.T, command, flag, want, wantErr string) {
	t.Helper()
	args := strings.Fields(command)
	got, err := runCommand(t, append([]string{args[0], flag}, args[1:]...)...)
	const retryInterval, maxAttempts = 100 * time.Millisecond, 100
	for range maxAttempts {
		if err == nil || !strings.Contains(err.Error(), "try again") || strings.Contains(err.Error(), wantErr) {
			break
		}
		time.Sleep(retryInterval)
		got, err = runCommand(t, append([]string{args[0], flag}, args[1:]...)...)
	}
	switch {
	case (err == nil) != (wantErr == ""):
		t.Errorf("%s: got output %q and error %v, want error %q", command, got, err, wantErr)
	case err != nil && !strings.Contains(err.Error(), wantErr):
		t.Errorf("%s: got error %v, want %s", command, err, wantErr)
	case err != nil && strings.Contains(err.Error(), "\n"):
		t.Errorf("%s: error has more than one line: %v", command, err)
	case err == nil && got != want:
		t.Errorf("%s: got output %q, want %q", command, got, want)
	}
}
