package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"swiftpitch/internal/config"
	"swiftpitch/internal/testsupport"
)

// reservedAddress is an address of the loopback interface at which nobody listens until serve
// is called, so that connections to it are refused.
type reservedAddress struct {
	t       *testing.T
	socket  int
	address string
}

func newReservedAddress(t *testing.T) *reservedAddress {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	port := name.(*syscall.SockaddrInet4).Port
	return &reservedAddress{t: t, socket: socket, address: fmt.Sprintf("127.0.0.1:%d", port)}
}

// serve listens at the address and serves HTTP until the test ends.
func (r *reservedAddress) serve(handler http.HandlerFunc) {
	r.t.Helper()
	const backlog = 128
	if err := syscall.Listen(r.socket, backlog); err != nil {
		r.t.Fatal(err)
	}
	file := os.NewFile(uintptr(r.socket), r.address)
	listener, err := net.FileListener(file) // has a descriptor of its own
	if err != nil {
		r.t.Fatal(err)
	}
	file.Close()
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	r.t.Cleanup(func() { server.Close() })
}

// nodeProcess is the program running in a process of its own.
type nodeProcess struct {
	cmd     *exec.Cmd
	address string // for clients
}

// startNode starts the program, with a limit of file descriptors, and waits until it serves.
func startNode(t *testing.T, configPath string, maxFiles int) *nodeProcess {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(),
		runMainVariable+"=1",
		config.FileVariable+"="+configPath,
		fmt.Sprintf("%s=%d", fileLimitVariable, maxFiles))
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	node := &nodeProcess{cmd: cmd}
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if _, address, ok := strings.Cut(lines.Text(), "listen="); ok {
			node.address = address
			break
		}
	}
	go io.Copy(io.Discard, log)
	return node
}

// request sends one request on a connection of its own and returns the body of the answer.
func (p *nodeProcess) request(ctx context.Context, id string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+"/c/x", nil)
	if err != nil {
		return "", err
	}
	for name, value := range map[string]string{
		"X-Trace-Id":      id,
		"X-Qos":           "c",
		"Api-Plan":        "p",
		"Api-Customer":    id,
		"X-Expires-In-Ms": "15000",
		"Api-Terms":       "units=1,spread=1,first=0",
	} {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testsupport.MaxWait}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// openFiles returns how many file descriptors the process holds.
func (p *nodeProcess) openFiles(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	return len(files)
}

// shutDown ends the process by SIGTERM and checks that it ends without an error.
func (p *nodeProcess) shutDown(t *testing.T) {
	t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the process ends with %v", err)
	}
}
