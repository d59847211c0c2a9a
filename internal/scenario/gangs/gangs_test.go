// Package gangs holds the scenarios of gangs: jobs whose tasks all run at the same time or not at all.
package gangs

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
