// Package leaders holds the scenarios in which controllers crash, restart or are partitioned, and leadership changes.
package leaders

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
