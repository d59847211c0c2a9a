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
			var logs bytes.Buffer
			synctest.Test(t, func(t *testing.T) {
				err = s.Play(t.Context(), &logs)
			})
			if err != nil || testing.Verbose() {
				t.Log(logs.String())
			}
			if err != nil {
				t.Error(err)
			}
		})
	}
}
