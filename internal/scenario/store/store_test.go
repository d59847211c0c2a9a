// Package store holds the scenarios of the key-value store: outages, late, lost and repeated writes, and its limits.
package store

import (
	"testing"

	"saffronbend/internal/scenario"
)

func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata")
}
