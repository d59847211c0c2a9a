// Package rebalancing holds the scenarios in which running tasks are moved to even out the load.
package rebalancing

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
