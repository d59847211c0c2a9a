// Package drains holds the scenarios of drains, with faults in every step of a drain.
package drains

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
