package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// maxKnownFailures limits the number of listed tests: a passing run with more failures would mean
// little.
const maxKnownFailures = 3

// knownFailure is one line of the list: a test that may fail.
type knownFailure struct {
	test    string
	command string // runs the test, with the seed if it has one
	seen    string // what the failing run showed
	issue   string
}

// listLine matches the form "TestName | command and seed | what was seen | issue". No field may
// be blank or contain a vertical bar.
var listLine = regexp.MustCompile(`^(Test[A-Za-z0-9_]*) \| ([^|]*[^| ][^|]*) \| ([^|]*[^| ][^|]*) \| ([^|]*[^| ][^|]*)$`)

// parseList parses the list of tests that may fail. If there is no text, or only empty lines, the
// list is empty.
func parseList(text string) ([]knownFailure, error) {
	if strings.Trim(text, "\n") == "" {
		return nil, nil
	}
	var list []knownFailure
	for i, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		entry, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		if isListed(list, entry.test) {
			return nil, fmt.Errorf("line %d: %s is listed twice", i+1, entry.test)
		}
		list = append(list, entry)
	}
	if len(list) > maxKnownFailures {
		return nil, fmt.Errorf("%d tests are listed, want %d at most", len(list), maxKnownFailures)
	}
	return list, nil
}

func parseLine(line string) (knownFailure, error) {
	match := listLine.FindStringSubmatch(line)
	if match == nil {
		return knownFailure{}, fmt.Errorf("want \"TestName | command and seed | what was seen | issue\", got %q", line)
	}
	return knownFailure{
		test:    match[1],
		command: strings.TrimSpace(match[2]),
		seen:    strings.TrimSpace(match[3]),
		issue:   strings.TrimSpace(match[4]),
	}, nil
}

// isListed reports whether a test is listed. The list does not distinguish packages.
func isListed(list []knownFailure, test string) bool {
	return slices.ContainsFunc(list, func(entry knownFailure) bool { return entry.test == test })
}
