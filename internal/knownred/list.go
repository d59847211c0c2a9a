package main

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// maxKnownFailures bounds the lines of the list.
const maxKnownFailures = 3

// knownFailure is a line of the list: a test that fails for a known fault.
type knownFailure struct {
	pkg   string // import path
	test  string // as go test -v prints it
	cause string
	issue string
}

// String returns the line as the command prints it.
func (f knownFailure) String() string {
	return fmt.Sprintf("%s %s: %s (%s)", f.pkg, f.test, f.cause, f.issue)
}

// errTooMany is the error of a list that is too long.
var errTooMany = fmt.Errorf("more than %d lines", maxKnownFailures)

// parseList parses the list. Empty lines do not count.
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

// errForm is the error of a line that does not have the form of the list.
var errForm = errors.New("not of the form PACKAGE TestName | cause | issue")

func parseLine(line string) (knownFailure, error) {
	const columns = 3
	fields := strings.Split(line, "|")
	if len(fields) != columns {
		return knownFailure{}, errForm
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
		return knownFailure{}, errForm
	}
	return failure, nil
}

// exactPattern returns the argument of go test -skip, -run or -list that matches just these tests (and their subtests).
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
