package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// checkRun reads the events of a test run and writes the output of packages and of failed tests,
// and the result of each listed test, to out. It returns the reasons why the run failed, or nil
// if nothing but listed tests failed and each listed test has run.
func checkRun(list []knownFailure, events io.Reader, out io.Writer) error {
	run := newTestRun(out)
	run.read(events)
	errs := slices.Concat(run.errs, unlistedFailures(run, list), packageFailures(run, list))
	for _, entry := range list {
		if err := reportKnownFailure(run, entry); err != nil {
			errs = append(errs, err)
		}
	}
	// Maps are iterated in random order; sorting gives the errors the same order in every run.
	slices.SortFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(errs...)
}

// unlistedFailures returns an error for each test that failed and is not listed, and for each
// test that did not finish, listed or not.
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

// packageFailures returns an error for each package that did not finish, and for each package
// that failed although none of its listed tests did.
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

// reportKnownFailure writes the result of a listed test. It returns an error if the test does not
// exist or was skipped.
func reportKnownFailure(run *testRun, entry knownFailure) error {
	var statuses []testStatus // one for each package that has a test of this name
	for id, status := range run.tests {
		if id.test == entry.test {
			statuses = append(statuses, status)
		}
	}
	switch {
	case len(statuses) == 0:
		return fmt.Errorf("%s is listed in %s but does not exist", entry.test, listFile)
	case slices.Contains(statuses, skipped):
		return fmt.Errorf("%s is listed in %s but was skipped", entry.test, listFile)
	case slices.Contains(statuses, failed):
		fmt.Fprintf(run.out, "known red: %s failed: %s: %s: %s\n", entry.test, entry.seen, entry.command, entry.issue)
	default:
		fmt.Fprintf(run.out, "known red: %s passed: remove it from %s\n", entry.test, listFile)
	}
	return nil
}
