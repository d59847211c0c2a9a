package main

import (
	"os"
	"os/exec"
	"testing"
)

// TestCase runs the script of the case, which review/build.sh must have built, if the environment has REVIEW=1. The
// default run of the tests leaves it out, and KNOWN-RED.txt names it.
func TestCase(t *testing.T) {
	if os.Getenv("REVIEW") == "" {
		t.Skip("runs only with REVIEW=1, after review/build.sh")
	}
	if output, err := exec.CommandContext(t.Context(), "./run.sh").CombinedOutput(); err != nil {
		t.Errorf("the rule was broken, or the case could not run: %v\n%s", err, output)
	}
}
