package main

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// maxKnownFailures is the maximum number of known failures in the list.
const maxKnownFailures = 3

// knownFailure is a line of the list: a test that fails because of a known bug.
type knownFailure struct {
	pkg   string // import path
	test  string // spelled as in the output of go test -v
	cause string
	issue string
}

// String returns the failure in the form in which the command prints it.
func (f knownFailure) String() string {
	return fmt.Sprintf("%s %s: %s (%s)", f.pkg, f.test, f.cause, f.issue)
}

// errTooMany is returned for a list with too many known failures.
var errTooMany = fmt.Errorf("more than %d lines", maxKnownFailures)

// parseList parses the list of known failures. It ignores empty lines.
func parseList(text string) ([]knownFailure, error) {
	var failures []knownFailure
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		failure, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("%q: %w", line, err)
		}
		for _, earlier := range failures {
			if earlier.pkg == failure.pkg && earlier.test == failure.test {
				return nil, fmt.Errorf("%q: listed twice", line)
			}
		}
		failures = append(failures, failure)
	}
	if len(failures) > maxKnownFailures {
		return nil, errTooMany
	}
	return failures, nil
}

// errMalformedLine is returned for a line that does not have the required form.
var errMalformedLine = errors.New("not of the form PACKAGE TestName | cause | issue")

func parseLine(line string) (knownFailure, error) {
	const columns = 3
	fields := strings.Split(line, "|")
	if len(fields) != columns {
		return knownFailure{}, errMalformedLine
	}
	pkg, test, found := strings.Cut(strings.TrimSpace(fields[0]), " ")
	failure := knownFailure{
		pkg:   pkg,
		test:  strings.TrimSpace(test),
		cause: strings.TrimSpace(fields[1]),
		issue: strings.TrimSpace(fields[2]),
	}
	isTest := strings.HasPrefix(failure.test, "Test") && !strings.ContainsAny(failure.test, " \t")
	if !found || !isTest || failure.cause == "" || failure.issue == "" {
		return knownFailure{}, errMalformedLine
	}
	return failure, nil
}

// exactPattern returns an argument for go test -skip, -run or -list that matches exactly these tests and their
// subtests.
func exactPattern(tests []string) string {
	var patterns []string
	for _, test := range tests {
		var elements []string
		for _, element := range strings.Split(test, "/") {
			elements = append(elements, "^"+regexp.QuoteMeta(element)+"$")
		}
		patterns = append(patterns, strings.Join(elements, "/"))
	}
	return strings.Join(patterns, "|")
}
