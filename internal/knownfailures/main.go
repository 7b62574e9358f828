// Command knownfailures decides whether a test run passes although known tests fail. It reads the
// output of `go test -json` from standard input and prints the output of packages and of failed
// tests. Only the tests listed in the file KNOWN-RED.txt of the current directory may fail.
//
// Each line of the file is "TestName | command and seed | what was seen | issue", with three lines
// at most. A missing or empty file lists no tests. The exit status is 0 if nothing but listed tests failed and each listed
// test has run, else 1.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// listFile is the file that lists the tests that may fail.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := checkStandardInput(); err != nil {
		fmt.Fprintln(os.Stderr, "knownfailures:", err)
		os.Exit(1)
	}
}

// checkStandardInput checks the test run on standard input against the list in the current
// directory.
func checkStandardInput() error {
	text, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	list, err := parseList(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", listFile, err)
	}
	return checkRun(list, os.Stdin, os.Stdout)
}
