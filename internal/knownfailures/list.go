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
	test  string
	cause string
	issue string
}

// listLine matches the form "TestName: cause: issue". Cause and issue must not be blank and must
// not contain a colon.
var listLine = regexp.MustCompile(`^(Test[A-Za-z0-9_]*): ([^:]*[^: ][^:]*): ([^:]*[^: ][^:]*)$`)

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
		return knownFailure{}, fmt.Errorf("want \"TestName: cause: issue\", got %q", line)
	}
	return knownFailure{
		test:  match[1],
		cause: strings.TrimSpace(match[2]),
		issue: strings.TrimSpace(match[3]),
	}, nil
}

// isListed reports whether a test is listed. The list does not distinguish packages.
func isListed(list []knownFailure, test string) bool {
	return slices.ContainsFunc(list, func(entry knownFailure) bool { return entry.test == test })
}
