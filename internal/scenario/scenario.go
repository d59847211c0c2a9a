// Package scenario runs scenarios: small text files that describe a cluster, the requests of users, the faults to
// inject, and the results to expect. Complete controllers run against fakes of the key-value store, the cloud and the
// workers on a virtual clock, while a checker verifies the invariants of the protocol.
//
// A scenario is a txtar archive with the sections `cluster`, `steps` and, optionally, `options`, `records` and `sweep`.
// README.md documents the words that they may use. The scenarios are in the test packages below this one.
package scenario

import (
	"errors"
	"fmt"
	"strings"

	"golang.org/x/tools/txtar"
)

// The sections of a scenario.
const (
	sectionCluster = "cluster"
	sectionSteps   = "steps"
	sectionOptions = "options"
	sectionRecords = "records"
	sectionSweep   = "sweep"
)

// commentMark starts a comment, which extends to the end of the line.
const commentMark = "#"

// Scenario is a parsed scenario file.
type Scenario struct {
	cluster, steps, records []string
	options                 []byte
	sweep                   []sweepVariable
}

// sweepVariable is a line of the section sweep: the scenario is run once with each of the values in place of $name.
type sweepVariable struct {
	name   string
	values []string
}

// Parse parses a scenario file.
func Parse(data []byte) (*Scenario, error) {
	scenario := new(Scenario)
	for _, file := range txtar.Parse(data).Files {
		switch file.Name {
		case sectionCluster:
			scenario.cluster = lines(file.Data)
		case sectionSteps:
			scenario.steps = lines(file.Data)
		case sectionOptions:
			scenario.options = file.Data
		case sectionRecords:
			scenario.records = lines(file.Data)
		case sectionSweep: // NAME VALUE | VALUE ...
			for _, line := range lines(file.Data) {
				name, values, _ := strings.Cut(line, " ")
				scenario.sweep = append(scenario.sweep, sweepVariable{name, strings.Split(values, "|")})
			}
		default:
			return nil, fmt.Errorf("unknown section %q", file.Name)
		}
	}
	if len(scenario.steps) == 0 {
		return nil, errors.New("no steps")
	}
	return scenario, nil
}

// Variants returns a variant of the scenario for each combination of values of its sweep, named after the variables and
// their values. A scenario without a sweep is its own only variant, with an empty name.
func (s *Scenario) Variants() (names []string, variants []*Scenario) {
	names, variants = []string{""}, []*Scenario{s}
	for _, swept := range s.sweep {
		var nextNames []string
		var nextVariants []*Scenario
		for i, base := range variants {
			for _, value := range swept.values {
				value = strings.TrimSpace(value)
				nextNames = append(nextNames, strings.TrimSpace(names[i]+" "+swept.name+" "+value))
				nextVariants = append(nextVariants, base.withValue(swept.name, value))
			}
		}
		names, variants = nextNames, nextVariants
	}
	return names, variants
}

// withValue returns a copy of the scenario with a value in place of $name.
func (s *Scenario) withValue(name, value string) *Scenario {
	variant := *s
	variant.cluster = substitute(s.cluster, "$"+name, value)
	variant.steps = substitute(s.steps, "$"+name, value)
	return &variant
}

// substitute replaces a variable by its value, which may consist of several steps, separated by semicolons.
func substitute(lines []string, name, value string) []string {
	var out []string
	for _, line := range lines {
		for _, part := range strings.Split(strings.ReplaceAll(line, name, value), ";") {
			if part = strings.TrimSpace(part); part != "" {
				out = append(out, part)
			}
		}
	}
	return out
}

// lines returns the lines of a section without comments and surrounding space, and leaves out empty ones.
func lines(section []byte) []string {
	var out []string
	for line := range strings.Lines(string(section)) {
		line, _, _ = strings.Cut(line, commentMark)
		if line = strings.TrimSpace(line); line != "" {
			out = append(out, line)
		}
	}
	return out
}
