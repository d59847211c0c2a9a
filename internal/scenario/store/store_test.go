// Package store holds the scenarios of faults of the key-value store: outages, delayed, lost and duplicate writes, and
// lower limits.
package store

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
