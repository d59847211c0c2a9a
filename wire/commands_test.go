package wire

import "testing"

func TestCommandString(t *testing.T) {
	if got, want := StopCommand("run-1/3", 5, 0).String(), "stop run-1/3 attempt 5"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
