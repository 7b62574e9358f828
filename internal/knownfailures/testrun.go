package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxEventBytes limits the length of a line of the events; a longer line fails the run.
const maxEventBytes = 1 << 20

// event is one line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string // empty for an event of the package; contains a slash for a subtest
	Output  string
}

// Actions of events that are not named like a testStatus.
const (
	actionStart       = "start" // of a package
	actionRun         = "run"   // of a test
	actionBuildFailed = "build-fail"
)

// testStatus is the status of a test or a package. The final ones are named like the action that
// reports them.
type testStatus string

const (
	running testStatus = "not finished"
	passed  testStatus = "pass"
	failed  testStatus = "fail"
	skipped testStatus = "skip"
)

// crashPrefixes are the beginnings of output lines that report a crash or a data race. These fail
// the run even if the test is listed.
var crashPrefixes = []string{
	"panic: ", "fatal error: ", "WARNING: DATA RACE", "ThreadSanitizer: ", "SIGSEGV: ", "SIGABRT: ",
}

// testID names one top-level test of one package.
type testID struct {
	packagePath string
	test        string
}

// testRun is the state of a test run, built from its events.
type testRun struct {
	out              io.Writer             // receives the output of packages and of failed tests
	tests            map[testID]testStatus // without subtests
	packages         map[string]testStatus // by path
	unfinishedOutput map[testID]string     // output of unfinished tests and their subtests
	errs             []error               // failures that are not excused by the list
}

func newTestRun(out io.Writer) *testRun {
	return &testRun{
		out:              out,
		tests:            map[testID]testStatus{},
		packages:         map[string]testStatus{},
		unfinishedOutput: map[testID]string{},
	}
}

// read records all events until the end of the input.
func (r *testRun) read(events io.Reader) {
	lines := bufio.NewScanner(events)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			fmt.Fprintf(r.out, "%s\n", lines.Bytes())
			r.addError(fmt.Errorf("not an event of go test -json: %q", lines.Text()))
			continue
		}
		r.record(e)
	}
	if err := lines.Err(); err != nil {
		r.addError(fmt.Errorf("reading the events of go test -json: %w", err))
	}
	for _, text := range r.unfinishedOutput {
		io.WriteString(r.out, text)
	}
	if len(r.tests) == 0 {
		r.addError(errors.New("no test has run"))
	}
}

func (r *testRun) addError(err error) { r.errs = append(r.errs, err) }

// record records one event.
func (r *testRun) record(e event) {
	test, _, isSubtest := strings.Cut(e.Test, "/")
	id := testID{packagePath: e.Package, test: test}
	r.recordOutput(id, e)
	if e.Action == actionBuildFailed {
		r.addError(errors.New("a build failed"))
		return
	}
	status, ok := statusOf(e.Action)
	switch {
	case isSubtest || !ok:
		return
	case test == "":
		r.packages[e.Package] = status
	default:
		r.recordTest(id, status)
	}
}

// recordOutput prints the output of a package at once, and keeps the output of a test until the
// test ends.
func (r *testRun) recordOutput(id testID, e event) {
	if id.test == "" {
		io.WriteString(r.out, e.Output)
	} else {
		r.unfinishedOutput[id] += e.Output
	}
	for _, prefix := range crashPrefixes {
		if strings.HasPrefix(e.Output, prefix) {
			r.addError(fmt.Errorf("%s %s: %s", e.Package, e.Test, strings.TrimSpace(e.Output)))
		}
	}
}

// recordTest records the status of a test, and prints its output if it failed.
func (r *testRun) recordTest(id testID, status testStatus) {
	r.tests[id] = status
	if status == failed {
		io.WriteString(r.out, r.unfinishedOutput[id])
	}
	if status != running {
		delete(r.unfinishedOutput, id)
	}
}

// statusOf returns the status after an action, and false if the action does not change it.
func statusOf(action string) (testStatus, bool) {
	switch action {
	case actionStart, actionRun:
		return running, true
	case string(passed), string(failed), string(skipped):
		return testStatus(action), true
	default:
		return "", false
	}
}
