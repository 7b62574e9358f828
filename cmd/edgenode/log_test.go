package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"swiftpitch/internal/config"
	"swiftpitch/internal/testsupport"
)

// Guards against a process that ends when it writes to its log and the log's reader has gone.
func TestProcessOutlivesReaderOfItsLog(t *testing.T) {
	endpoint, discovery := newReservedAddress(t), newReservedAddress(t)
	endpoint.serve(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") })
	path := writeConfig(t, fileLimitConfig("push", discovery, discovery, endpoint))
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), runMainVariable+"=1", config.FileVariable+"="+path)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = writer
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	writer.Close()
	node := &nodeProcess{cmd: cmd}
	line, err := bufio.NewReader(reader).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	_, address, _ := strings.Cut(strings.TrimSpace(line), "listen=")
	node.address = address
	reader.Close()
	rewriteConfig(t, path, "not a configuration")
	cmd.Process.Signal(syscall.SIGHUP) // makes it log an error
	requests := 0
	testsupport.Eventually(t, "answers after the write to the log", func() bool {
		requests++
		body, err := node.request(t.Context(), fmt.Sprintf("%016x", 0xb0+requests))
		if err != nil || body != "served" {
			t.Fatalf("request %d: body %q, error %v, want %q", requests, body, err, "served")
		}
		return requests >= 100
	})
	node.shutDown(t)
}
