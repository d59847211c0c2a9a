package soak

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"saffronbend/internal/scenario"
)

// The seeds that are run, unless the environment variables say otherwise for a longer run.
const (
	firstSeed         = 265
	seeds             = 20
	firstSeedVariable = "SOAK_FIRST_SEED"
	seedsVariable     = "SOAK_SEEDS"
)

func numberFromEnvironment(t *testing.T, name string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

// No drawn combination of faults breaks an invariant, and the cluster recovers from it.
func TestSoak(t *testing.T) {
	first := numberFromEnvironment(t, firstSeedVariable, firstSeed)
	for seed := range numberFromEnvironment(t, seedsVariable, seeds) {
		t.Run(fmt.Sprintf("seed_%d", first+seed), func(t *testing.T) {
			drawn, err := scenario.Parse([]byte(Generate(first + seed)))
			if err != nil {
				t.Fatal(err)
			}
			scenario.RunInBubble(t, drawn)
		})
	}
}

func TestGenerateIsReproducible(t *testing.T) {
	first, again, other := Generate(1), Generate(1), Generate(2)
	if first != again || first == other {
		t.Error("a seed does not determine the scenario")
	}
}
