// Package cancellation holds the scenarios in which jobs are cancelled while machines or the key-value store can't be
// reached, or while their last task completes.
package cancellation

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
