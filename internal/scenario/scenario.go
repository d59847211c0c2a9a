// Package scenario plays scenarios: small text files that say what machines there are, what users do and what goes
// wrong, and what must come of it. Whole controllers run against fakes of the store, the cloud and the workers on a
// virtual clock; a checker watches the invariants of the protocol throughout.
//
// A scenario is a txtar archive with the sections `world`, `steps` and, if need be, `options`, `records` and `sweep`.
// README.md lists the words that they may use. The scenarios lie in the test packages below this one.
package scenario

import (
	"errors"
	"fmt"
	"strings"

	"golang.org/x/tools/txtar"
)

// The sections of a scenario.
const (
	sectionWorld   = "world"
	sectionSteps   = "steps"
	sectionOptions = "options"
	sectionRecords = "records"
	sectionSweep   = "sweep"
)

// commentMark begins a comment, which ends with the line.
const commentMark = "#"

// Scenario is a parsed file.
type Scenario struct {
	world, steps, records []string
	options               []byte
	sweep                 []variable
}

// variable is a line of the sweep: the scenario is played with each of the values in the place of $name.
type variable struct {
	name   string
	values []string
}

// Parse reads a scenario.
func Parse(data []byte) (*Scenario, error) {
	scenario := new(Scenario)
	for _, file := range txtar.Parse(data).Files {
		switch file.Name {
		case sectionWorld:
			scenario.world = lines(file.Data)
		case sectionSteps:
			scenario.steps = lines(file.Data)
		case sectionOptions:
			scenario.options = file.Data
		case sectionRecords:
			scenario.records = lines(file.Data)
		case sectionSweep: // NAME VALUE | VALUE ...
			for _, line := range lines(file.Data) {
				name, values, _ := strings.Cut(line, " ")
				scenario.sweep = append(scenario.sweep, variable{name, strings.Split(values, "|")})
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

// Variants returns the scenario for each choice of values of its sweep, with what is chosen as its name. A scenario
// without a sweep has itself as its only variant, without a name.
func (s *Scenario) Variants() (names []string, variants []*Scenario) {
	names, variants = []string{""}, []*Scenario{s}
	for _, swept := range s.sweep {
		var nextNames []string
		var nextVariants []*Scenario
		for i, base := range variants {
			for _, value := range swept.values {
				value = strings.TrimSpace(value)
				nextNames = append(nextNames, strings.TrimSpace(names[i]+" "+swept.name+" "+value))
				nextVariants = append(nextVariants, base.with(swept.name, value))
			}
		}
		names, variants = nextNames, nextVariants
	}
	return names, variants
}

// with returns a copy of the scenario with a value in the place of $name.
func (s *Scenario) with(name, value string) *Scenario {
	variant := *s
	variant.world = replace(s.world, "$"+name, value)
	variant.steps = replace(s.steps, "$"+name, value)
	return &variant
}

// replace puts a value, which may be several steps separated by semicolons, in a variable's place.
func replace(lines []string, name, value string) []string {
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

// lines returns the lines of a section that are left without comments and space.
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
