// Package drains holds the scenarios of drains, with faults in all of their steps.
package drains

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
