package main

import (
	"strings"
	"testing"
	"time"
)

// An operator's way through drains: what is refused says why in one line and changes nothing.
func TestDrainCommands(t *testing.T) {
	_, cluster := controllerWith(t, []byte("drains { enabled: true }"))
	flag := "--cluster=" + cluster
	for _, step := range []struct{ line, want, fails string }{
		{line: "drain start old --zone=a", fails: "no machine matches"},
		{line: "drain start old --machine=n-000001", fails: "no such machine: n-000001"},
		{line: "drain start old", fails: "a drain needs machines, a zone, a type or an age"},
		{line: "drain start old --zone=a --budget=green=1", fails: `no such team: "green"`},
		{line: "drain start old --zone=a --budget=red=-1",
			fails: `"-1": a budget is a number of tasks such as "3" or a share of the running ones such as "10%"`},
		{line: "drain start -- -old --zone=a", fails: "unexpected argument --zone=a"},
		{line: "drain start old --zone=a --deadline=-1s", fails: "a deadline and an age are at least 0 s"},
		{line: "drain start old --zone=a --step=1001", fails: "a step has at most 1000 machines"},
		{line: "drain status old", fails: "no such drain"},
		{line: "drain status", want: ""},
		{line: "drain pause old", fails: "no such drain"},
		{line: "drain resume old", fails: "no such drain"},
		{line: "drain cancel old", fails: "no such drain"},
	} {
		expect(t, step.line, flag, step.want, step.fails)
	}
	_, off := controllerWith(t, nil)
	expect(t, "drain status", "--cluster="+off, "", "drains are switched off: set drains { enabled: true } in the options")
	expect(t, "drain status", "--cluster="+freeAddr(t), "", "connection refused")
}

// expect runs a command line and holds what it prints, or how it fails, against what it should. While the controller
// starts, it is repeated, as the answer asks.
func expect(t *testing.T, line, flag, want, fails string) {
	t.Helper()
	words := strings.Fields(line)
	got, err := command(t, append([]string{words[0], flag}, words[1:]...)...)
	const pause, tries = 100 * time.Millisecond, 100
	for range tries {
		if err == nil || !strings.Contains(err.Error(), "try again") || strings.Contains(err.Error(), fails) {
			break
		}
		time.Sleep(pause)
		got, err = command(t, append([]string{words[0], flag}, words[1:]...)...)
	}
	switch {
	case (err == nil) != (fails == ""):
		t.Errorf("%s: %q, %v", line, got, err)
	case err != nil && !strings.Contains(err.Error(), fails):
		t.Errorf("%s: %v, want %s", line, err, fails)
	case err != nil && strings.Contains(err.Error(), "\n"):
		t.Errorf("%s: more than a line: %v", line, err)
	case err == nil && got != want:
		t.Errorf("%s: %q, want %q", line, got, want)
	}
}
