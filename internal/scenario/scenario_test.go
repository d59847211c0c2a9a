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

// TestScenarios plays every file of testdata. -v shows the controllers' logs.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	// With thousands of timers in one bubble, several threads make the race detector's
	// runtime crash; and one makes the order of events vary less.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txtar"), func(t *testing.T) {
			data, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			s, err := Parse(data)
			if err != nil {
				t.Fatal(err)
			}
			names, variants := s.Variants()
			for i, v := range variants {
				if names[i] == "" {
					play(t, v)
					continue
				}
				t.Run(names[i], func(t *testing.T) { play(t, v) })
			}
		})
	}
}

func play(t *testing.T, s *Scenario) {
	var logs bytes.Buffer
	var err error
	synctest.Test(t, func(t *testing.T) { err = s.Play(t.Context(), &logs) })
	if err != nil || testing.Verbose() {
		t.Log(logs.String())
	}
	if err != nil {
		t.Error(err)
	}
}
