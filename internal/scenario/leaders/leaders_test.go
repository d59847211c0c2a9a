// Package leaders holds the scenarios in which controllers fail, are cut off or lose their workers, and leadership
// changes.
package leaders

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
