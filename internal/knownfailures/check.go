package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// checkRun reads the events of a run, writes to out the output of packages and of failed tests and
// how each listed test ended, and returns why the run failed: nil if nothing but listed tests
// did.
func checkRun(list []knownFailure, events io.Reader, out io.Writer) error {
	run := newTestRun(out)
	run.read(events)
	errs := slices.Concat(run.errs, unlistedFailures(run, list), packageFailures(run, list))
	for _, known := range list {
		if err := reportKnownFailure(run, known); err != nil {
			errs = append(errs, err)
		}
	}
	// The order of the maps is random, that of the faults is not.
	slices.SortFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(errs...)
}

// unlistedFailures returns the tests that failed without being listed, and those that never
// finished, listed or not.
func unlistedFailures(run *testRun, list []knownFailure) []error {
	var errs []error
	for id, status := range run.tests {
		mayFail := status == failed && isListed(list, id.test)
		if !mayFail && (status == failed || status == running) {
			errs = append(errs, fmt.Errorf("%s %s: %s", id.packagePath, id.test, status))
		}
	}
	return errs
}

// packageFailures returns the packages that never finished, and those that failed without a
// listed test to account for it.
func packageFailures(run *testRun, list []knownFailure) []error {
	hasListedFailure := map[string]bool{}
	for id, status := range run.tests {
		if status == failed && isListed(list, id.test) {
			hasListedFailure[id.packagePath] = true
		}
	}
	var errs []error
	for path, status := range run.packages {
		if status == running || status == failed && !hasListedFailure[path] {
			errs = append(errs, fmt.Errorf("%s: %s", path, status))
		}
	}
	return errs
}

// reportKnownFailure writes how a listed test ended. A test that does not exist, or was skipped,
// must not be listed.
func reportKnownFailure(run *testRun, known knownFailure) error {
	var statuses []testStatus // one for each package that has such a test
	for id, status := range run.tests {
		if id.test == known.test {
			statuses = append(statuses, status)
		}
	}
	switch {
	case len(statuses) == 0:
		return fmt.Errorf("%s is listed and does not exist", known.test)
	case slices.Contains(statuses, skipped):
		return fmt.Errorf("%s is listed and was skipped", known.test)
	case slices.Contains(statuses, failed):
		fmt.Fprintf(run.out, "known red: %s failed: %s: %s\n", known.test, known.cause, known.issue)
	default:
		fmt.Fprintf(run.out, "known red: %s passed: take it off %s\n", known.test, listFile)
	}
	return nil
}
