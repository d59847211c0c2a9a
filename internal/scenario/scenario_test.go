package scenario

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
)

// README.md must document every word that a scenario may use, and every definition must have a help text.
func TestReadmeDocumentsEveryWord(t *testing.T) {
	readme, err := os.ReadFile("README.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := func(kind, word string) {
		t.Helper()
		if !regexp.MustCompile(`\b` + regexp.QuoteMeta(word) + `\b`).Match(readme) {
			t.Errorf("%s %q is not in README.md", kind, word)
		}
	}
	for word, entry := range stepDefinitions {
		documented("step", word)
		if entry.help == "" {
			t.Errorf("step %q has no help text", word)
		}
	}
	for word, entry := range conditionDefinitions {
		documented("condition", word)
		if entry.help == "" {
			t.Errorf("condition %q has no help text", word)
		}
	}
	for _, faults := range []map[string]serviceFault{stateFaults, cloudFaults} {
		for word, entry := range faults {
			documented("fault", word)
			if entry.help == "" {
				t.Errorf("fault %q has no help text", word)
			}
		}
	}
	for word := range jobFields {
		documented("field", word)
	}
	for word := range defaultValues {
		documented("value", word)
	}
}

func TestParseExpandsSweepAndRejectsInvalidSections(t *testing.T) {
	for _, c := range []struct {
		name, text string
		variants   []string
		fails      bool
	}{
		{"no steps", "-- cluster --\nteam red\n", nil, true},
		{"unknown section", "-- words --\n-- steps --\nready\n", nil, true},
		{"without a sweep", "-- steps --\nready # all\n", []string{""}, false},
		{"with a sweep", "-- sweep --\na 1 | 2\nb x | y; z\n-- steps --\nready $a $b\n",
			[]string{"a 1 b x", "a 1 b y; z", "a 2 b x", "a 2 b y; z"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			scenario, err := Parse([]byte(c.text))
			if (err != nil) != c.fails {
				t.Fatalf("error %v", err)
			}
			if err != nil {
				return
			}
			names, variants := scenario.Variants()
			if strings.Join(names, "|") != strings.Join(c.variants, "|") || len(variants) != len(names) {
				t.Errorf("variants %q, want %q", names, c.variants)
			}
		})
	}
}

func TestVariantsReplaceValues(t *testing.T) {
	scenario, err := Parse([]byte("-- sweep --\na x; y\n-- steps --\n$a\nz\n"))
	if err != nil {
		t.Fatal(err)
	}
	_, variants := scenario.Variants()
	if got := strings.Join(variants[0].steps, "|"); got != "x|y|z" {
		t.Errorf("steps %q", got)
	}
}

func TestStepErrors(t *testing.T) {
	h := &harness{}
	for _, c := range []struct {
		line string
		want error
	}{
		{"dance", errUnknownWord},
		{"submit", errMissingArguments},
		{"check job run-000001", errMissingArguments},
		{"state", errMissingArguments},
		{"state delay-transactions tasks/", errMissingArguments},
		{"state sleeps", errUnknownWord},
		{"never 1 dances", errUnknownCondition},
		{"never 1 job run-000001", errMissingArguments},
	} {
		if err := h.step(t.Context(), c.line); !errors.Is(err, c.want) {
			t.Errorf("%q: %v, want %v", c.line, err, c.want)
		}
	}
}
