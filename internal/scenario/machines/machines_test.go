// Package machines holds the scenarios in which machines, their links or the cloud fail, and one with a large fleet.
package machines

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
