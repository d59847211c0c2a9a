package scenario

import (
	"bytes"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
)

// extension is the file name extension of scenarios.
const extension = ".txtar"

// Run runs every scenario of a directory as a subtest, and every variant of a scenario with a sweep as a subtest of
// that subtest. The controllers' log is shown for scenarios that fail, and with -v.
//
// Each of the test packages below this one calls Run in one test. The scenarios are divided into packages because Go
// runs the tests of different packages in parallel processes.
func Run(t *testing.T, dir string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*"+extension))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios in %s: %v", dir, err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), extension)
		t.Run(name, func(t *testing.T) { runVariants(t, Read(t, file)) })
	}
}

// Read reads a scenario from a file.
func Read(t *testing.T, file string) *Scenario {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	scenario, err := Parse(data)
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	return scenario
}

// runVariants runs a scenario without a sweep in the test itself, and each variant of one with a sweep in a subtest.
func runVariants(t *testing.T, scenario *Scenario) {
	t.Helper()
	names, variants := scenario.Variants()
	for i, variant := range variants {
		if names[i] == "" {
			RunInBubble(t, variant)
			continue
		}
		t.Run(names[i], func(t *testing.T) { RunInBubble(t, variant) })
	}
}

// InBubble calls run on a virtual clock, in a synctest bubble with a single thread: with thousands of timers in one
// bubble, several threads make the race detector's runtime crash. One thread also makes the order of events vary less.
func InBubble(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, run)
}

// RunInBubble runs a scenario on a virtual clock. The controllers' log is shown if it fails, and with -v.
func RunInBubble(t *testing.T, scenario *Scenario) {
	t.Helper()
	var logs bytes.Buffer
	var err error
	InBubble(t, func(t *testing.T) {
		t.Helper()
		err = scenario.Run(t.Context(), &logs)
	})
	if err != nil || testing.Verbose() {
		t.Log(logs.String())
	}
	if err != nil {
		t.Error(err)
	}
}
