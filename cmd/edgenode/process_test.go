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

// reservedAddress is an address of the loopback interface at which connections are refused until
// serve is called. Its socket is bound, so that no other process can use the address.
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
	listener, err := net.FileListener(file) // duplicates the descriptor
	if err != nil {
		r.t.Fatal(err)
	}
	file.Close()
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	r.t.Cleanup(func() { server.Close() })
}

// nodeProcess is edgenode in a process of its own.
type nodeProcess struct {
	cmd     *exec.Cmd
	address string // for clients
}

// startNode starts edgenode with a limit on open file descriptors, and waits until it listens.
func startNode(t *testing.T, configPath string, maxFiles int) *nodeProcess {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(),
		runMainVariable+"=1",
		config.FileVariable+"="+configPath,
		fmt.Sprintf("%s=%d", fileLimitVariable, maxFiles))
	return startProcess(t, cmd)
}

// startProcess starts a command that runs edgenode, and waits until it listens.
func startProcess(t *testing.T, cmd *exec.Cmd) *nodeProcess {
	t.Helper()
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

// request sends one request on a new connection and returns the body of the answer.
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

// openFiles returns the number of open file descriptors of the process.
func (p *nodeProcess) openFiles(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("reading the open files of the process, which may have ended: %v", err)
	}
	return len(files)
}

// shutDown sends SIGTERM to the process and checks that it exits with code 0.
func (p *nodeProcess) shutDown(t *testing.T) {
	t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM the process ended with %v, want exit code 0", err)
	}
}
