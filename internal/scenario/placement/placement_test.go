// Package placement holds the scenarios of ordinary work: where tasks go, whose turn it is, and the limits of teams.
package placement

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
