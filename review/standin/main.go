// Command standin runs the cases of the review: it starts edge nodes and plays the clients, the
// booking servers, discovery and the counter around them.
//
//	standin CASE ROOT RECORD
//
// CASE names the case, ROOT is the root of the project and RECORD the file for the record of the
// run. With TROUBLE=0 in the environment the case runs without its disruption. The exit status is
// 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// Exit statuses.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	caseNotRun  = 2
	argumentNum = 4
)

// cases are the cases by their names. A case reports whether the rule held.
var cases = map[string]func(*fleet) (held bool, err error){
	"closed-in-request": closedInRequest,
	"without-length":    withoutLength,
	"ceiling":           ceilingAfterRestart,
}

func main() {
	runtime.LockOSThread() // the edge nodes are killed when the thread that started them ends
	os.Exit(run())
}

// run runs the case that the arguments name and returns the exit status.
func run() int {
	if len(os.Args) != argumentNum || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return caseNotRun
	}
	f, err := newFleet(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return caseNotRun
	}
	defer f.close()
	held, err := cases[os.Args[1]](f)
	switch {
	case err != nil:
		f.record.printf("the case could not run: %v", err)
		return caseNotRun
	case held:
		f.record.printf("the rule held")
		return ruleHeld
	default:
		f.record.printf("the rule was broken")
		return ruleBroken
	}
}
