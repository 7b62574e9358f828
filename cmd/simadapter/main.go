// Command simadapter runs instances of the policy for the simulator. It reads batches of messages
// from standard input, one JSON object per line, and answers each batch with the actions of the
// instances on standard output.
//
// A batch begins with a Round message, which sets the time, and ends with Go. The reply ends with
// End. At the first invalid line the program exits with an error that names the line.
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
