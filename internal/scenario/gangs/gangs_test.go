// Package gangs holds the scenarios of gangs, whose tasks run together or not at all.
package gangs

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
