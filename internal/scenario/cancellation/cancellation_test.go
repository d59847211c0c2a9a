// Package cancellation holds the scenarios in which jobs are cancelled while machines or the store cannot be reached,
// or while their last task ends.
package cancellation

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
