// Command knownfailures reads the output of `go test -json` on its standard input, shows the
// output of packages and of failed tests, and judges the run by the file KNOWN-RED.txt of the
// current directory: tests listed there may fail, and only these.
//
// Each line of the file is "TestName: cause: issue"; there are three at most. No file, or an
// empty one, means none. The exit status is 0 if nothing but listed tests failed, else 1.
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

// checkStandardInput judges the events on standard input by the list of the current directory.
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
