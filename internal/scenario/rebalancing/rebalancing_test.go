// Package rebalancing holds the scenarios in which running tasks are moved to balance the load of machines.
package rebalancing

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
