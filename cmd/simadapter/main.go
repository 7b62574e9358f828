// Command simadapter runs instances of the policy on the simulator's wire: it reads batches of
// messages from standard input, one JSON object a line, and answers each batch with the actions
// of the instances on standard output.
//
// A batch begins with Round, which sets the time, and ends with Go. Its answer ends with End.
// The first faulty line ends the program with an error that names the line.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
