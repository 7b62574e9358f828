package main

import (
	"fmt"
	"strings"
	"testing"
)

// packageEvents returns the events of one package. Each of ends is the name of a test and the action
// that ends it, such as "TestA fail"; a test without an action does not finish.
func packageEvents(pkg, packageEnds string, ends ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"Action":"start","Package":%q}`+"\n", pkg)
	for _, e := range ends {
		name, action, _ := strings.Cut(e, " ")
		fmt.Fprintf(&b, `{"Action":"run","Package":%q,"Test":%q}`+"\n", pkg, name)
		if action != "" {
			fmt.Fprintf(&b, `{"Action":%q,"Package":%q,"Test":%q}`+"\n", action, pkg, name)
		}
	}
	if packageEnds != "" {
		fmt.Fprintf(&b, `{"Action":%q,"Package":%q}`+"\n", packageEnds, pkg)
	}
	return b.String()
}

// outputEvent returns an event with output of TestA.
func outputEvent(pkg, text string) string {
	return fmt.Sprintf(`{"Action":"output","Package":%q,"Test":"TestA","Output":%q}`+"\n", pkg, text)
}

// Guards the result of CI: only failures of listed tests may pass.
func TestOnlyListedTestsMayFail(t *testing.T) {
	const list = "TestA | go test -run TestA ./p, seed 4 | a fault | issue 8\n"
	listedFailed := packageEvents("p", "fail", "TestA fail", "TestB pass")
	for _, c := range []struct {
		name, list, events string
		wantError          string // part of the error; empty if the run passes
		wantOutput         string // part of the output
	}{
		{"all pass", "", packageEvents("p", "pass", "TestA pass"), "", ""},
		{"a listed test fails", list, listedFailed, "", "known red: TestA failed: a fault: go test -run TestA ./p, seed 4: issue 8\n"},
		{"a listed test passes in another package", list, listedFailed + packageEvents("q", "pass", "TestA pass"), "", "TestA failed"},
		{"a listed test passes", list, packageEvents("p", "pass", "TestA pass"), "", "TestA passed: remove it from KNOWN-RED.txt"},
		{"a subtest of a listed test fails", list, packageEvents("p", "fail", "TestA fail", "TestA/part fail", "TestB pass"), "", "TestA failed"},
		{"no list", "", listedFailed, "p TestA: fail", ""},
		{"an unlisted test fails", list, packageEvents("p", "fail", "TestA fail", "TestB fail"), "p TestB: fail", "TestA failed"},
		{"an unlisted test of another package fails", list, listedFailed + packageEvents("q", "fail", "TestC fail"), "q TestC: fail", ""},
		{"a listed test does not exist", list, packageEvents("p", "pass", "TestB pass"), "TestA is listed in KNOWN-RED.txt but does not exist", ""},
		{"a listed test is skipped", list, packageEvents("p", "pass", "TestA skip", "TestB pass"), "was skipped", ""},
		{"a listed test never finishes", list, packageEvents("p", "fail", "TestA", "TestB pass"), "TestA: not finished", ""},
		{"a package fails without a failed test", list, listedFailed + packageEvents("q", "fail", "TestC pass"), "q: fail", ""},
		{"a package never finishes", list, listedFailed + packageEvents("q", "", "TestC pass"), "q: not finished", ""},
		{"the output of a failed test", list, outputEvent("p", "of a failure\n") + listedFailed, "", "of a failure"},
		{"the output of an unfinished test", list, outputEvent("p", "of a hang\n") + packageEvents("p", "fail", "TestA"), "not finished", "of a hang"},
		{"a panic", list, outputEvent("p", "panic: oh\n") + listedFailed, "panic: oh", "panic: oh"},
		{"a timeout", list, outputEvent("p", "panic: test timed out after 10m0s\n") + listedFailed, "timed out", ""},
		{"a data race", list, outputEvent("p", "WARNING: DATA RACE\n") + listedFailed, "DATA RACE", ""},
		{"a fatal error", list, outputEvent("p", "fatal error: all goroutines are asleep - deadlock!\n") + listedFailed, "asleep", ""},
		{"a build error", list, `{"ImportPath":"p","Action":"build-fail"}` + "\n" + listedFailed, "a build failed", ""},
		{"a message of the go command", list, "go: no such thing\n" + listedFailed, "no such thing", ""},
		{"nothing has run", "", "", "no test has run", ""},
	} {
		entries, err := parseList(c.list)
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		err = checkRun(entries, strings.NewReader(c.events), &out)
		if (err == nil) != (c.wantError == "") || err != nil && !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("%s: error %v, want one with %q", c.name, err, c.wantError)
		}
		if !strings.Contains(out.String(), c.wantOutput) {
			t.Errorf("%s: output %q, want it to contain %q", c.name, out.String(), c.wantOutput)
		}
	}
}

// Guards that the output of passed tests is not printed, while that of packages is.
func TestOutputOfPassedTestsIsHidden(t *testing.T) {
	var out strings.Builder
	events := outputEvent("p", "of a pass\n") + packageEvents("p", "pass", "TestA pass") +
		`{"Action":"output","Package":"p","Output":"ok  \tp\t0.1s\n"}` + "\n"
	if err := checkRun(nil, strings.NewReader(events), &out); err != nil || out.String() != "ok  \tp\t0.1s\n" {
		t.Errorf("error %v, output %q, want only the package's line", err, out.String())
	}
}

// Guards the form of the list: which texts are valid, and how many tests they list.
func TestParseListRejectsMalformedLists(t *testing.T) {
	line := func(n int) string { return fmt.Sprintf("Test%d | go test, seed %d | its fault | issue %d\n", n, n, n) }
	for _, c := range []struct {
		text string
		want int // number of tests; -1 for an error
	}{
		{"", 0}, {"\n", 0},
		{line(1), 1}, {line(1) + line(2) + line(3), 3},
		{line(1) + line(2) + line(3) + line(4), -1},
		{line(1) + line(1), -1},
		{line(1) + "\n" + line(2), -1},
		{"TestA | command | fault\n", -1}, {"A | command | fault | issue\n", -1},
		{"TestA |  | fault | issue\n", -1}, {"TestA | command |  | issue\n", -1}, {"TestA | command | fault |  \n", -1},
		{"# none\n", -1}, {" TestA | command | fault | issue\n", -1}, {"TestA | command | fault | issue | more\n", -1},
		{"TestA: cause: issue\n", -1}, {"TestA: command: fault: issue\n", -1},
	} {
		list, err := parseList(c.text)
		if (err != nil) != (c.want < 0) || err == nil && len(list) != c.want {
			t.Errorf("parseList(%q) = %v, error %v, want %d tests (-1: an error)", c.text, list, err, c.want)
		}
	}
}
