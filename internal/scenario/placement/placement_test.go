// Package placement holds the scenarios of the placement of tasks: constraints, priorities and the limits of teams.
package placement

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
