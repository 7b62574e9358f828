package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/testsupport"
)

const (
	memoryLimitMB    = 32   // the least memory of a deployment
	memoryFileLimit  = 1024 // the most file descriptors of a deployment
	hostileClients   = 500
	hostileDuration  = 2 * time.Second
	largeAnswerBytes = 64 << 10
)

// hostileClient is a client that takes as much memory of the node as it can. It writes to its
// connection and returns when the connection or the test ends, or stop is closed.
type hostileClient func(conn net.Conn, number int, stop <-chan struct{})

// Guards against a process that passes its memory limit: hundreds of clients at once each make the
// node keep data for them, in every way that a client has.
func TestMemoryStaysWithinLimitUnderHostileClients(t *testing.T) {
	binary := buildNode(t)
	for _, test := range []struct {
		name   string
		client hostileClient
	}{
		{"unfinished heads of many fields", writeOnce(strings.Repeat("abc:\r\n", 2583))},
		{"unfinished heads of different fields", writeOnce(differentFields(1900))},
		{"finished heads of many fields", writeOnce(strings.Repeat("abc:\r\n", 2583) + "\r\n")},
		{"half a body", writeNumbered(func(id int) string { return bodyRequest(id)[:32<<10] })},
		{"further requests", writeNumbered(func(id int) string { return strings.Repeat(readRequest(id, "15000"), 300) })},
		{"answers that are not read", writeNumbered(func(id int) string { return strings.Repeat(readRequest(id, "15000"), 20) })},
		{"large bodies, answers that are not read", writeNumbered(func(id int) string { return strings.Repeat(bodyRequest(id), 3) })},
		{"large answers to clients that take little", writeWithSmallBuffer},
		{"all kinds at once", mixedClients},
		{"a new tenant in each request", writeNewTenants("p", "1")},
		{"a new tenant in each request with time", writeNewTenants("n", "15000")},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := startMemoryNode(t, binary)
			node.runHostileClients(t, test.client)
			if peak := node.peakMemoryMB(t); peak > memoryLimitMB {
				t.Errorf("the peak of resident memory is %.1f MB, want %d at most", peak, memoryLimitMB)
			} else {
				t.Logf("the peak of resident memory is %.1f MB", peak)
			}
			node.shutDown(t)
		})
	}
}

// buildNode builds edgenode without the race detector, which multiplies the use of memory.
func buildNode(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "edgenode")
	if output, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("building edgenode: %v: %s", err, output)
	}
	return path
}

// startMemoryNode starts the program at path with the least memory and the most file descriptors,
// and three endpoints with large answers.
func startMemoryNode(t *testing.T, path string) *nodeProcess {
	t.Helper()
	answer := strings.Repeat("x", largeAnswerBytes)
	var instances []string
	for i := range 3 {
		endpoint := newReservedAddress(t)
		endpoint.serve(func(w http.ResponseWriter, req *http.Request) {
			io.Copy(io.Discard, req.Body)
			time.Sleep(20 * time.Millisecond)
			io.WriteString(w, answer)
		})
		instances = append(instances, instanceJSON(fmt.Sprintf("s-%d", i), endpoint))
	}
	discovery := newReservedAddress(t)
	configPath := writeConfig(t, fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":{"generation":41,"reset":true,"instances":[%s]},
 "settings":{"membershipMode":"push","nInstances":2,"limits":{"maxAttempts":4,"dialTimeout":250000000,"cancel":true},
  "tiersOfService":[{"name":"p","refill":100000,"depth":100000,"worthFactor":1},
                     {"name":"n","refill":0.001,"depth":0.001,"worthFactor":1}],
  "familyInfo":{"counter":false,"countWait":80000000,"mostUnits":6},"contract":{"drainGrace":2000000000},
  "classes":[{"name":"c","effect":"repeatable","aim":2000000000,"deadline":4000000000,"value":1},
             {"name":"b","effect":"once","aim":2000000000,"deadline":4000000000,"value":1}]}}`,
		discovery.address, memoryLimitMB, memoryFileLimit, strings.Join(instances, ",")))
	cmd := exec.CommandContext(t.Context(), path)
	cmd.Env = append(os.Environ(), config.FileVariable+"="+configPath)
	return startProcess(t, cmd)
}

// runHostileClients runs hostileClients clients at once, for hostileDuration at most.
func (p *nodeProcess) runHostileClients(t *testing.T, client hostileClient) {
	t.Helper()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range hostileClients {
		conn, err := net.DialTimeout("tcp", p.address, testsupport.MaxWait)
		if err != nil {
			t.Fatalf("client %d: %v", i, err)
		}
		clients.Go(func() {
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(hostileDuration))
			client(conn, i, stop)
		})
	}
	time.Sleep(hostileDuration)
	close(stop)
	clients.Wait()
}

// peakMemoryMB returns the largest resident memory that the process has had, in MB.
func (p *nodeProcess) peakMemoryMB(t *testing.T) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("reading the status of the process, which may have ended: %v", err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest + " -")[0])
	if err != nil {
		t.Fatalf("VmHWM in the status of the process: %v", err)
	}
	return float64(kilobytes) / 1024
}

// writeWithSmallBuffer sends requests and reads nothing, on a connection that takes little.
func writeWithSmallBuffer(conn net.Conn, number int, stop <-chan struct{}) {
	conn.(*net.TCPConn).SetReadBuffer(1)
	io.WriteString(conn, strings.Repeat(readRequest(number, "15000"), 20))
	<-stop
}

// mixedClients is a client of one of several kinds, by its number.
func mixedClients(conn net.Conn, number int, stop <-chan struct{}) {
	kinds := []hostileClient{
		writeOnce(strings.Repeat("abc:\r\n", 2583)),
		writeOnce(differentFields(1900)),
		writeNumbered(func(id int) string { return bodyRequest(id)[:32<<10] }),
		writeNumbered(func(id int) string { return strings.Repeat(readRequest(id, "15000"), 300) }),
		writeNumbered(func(id int) string { return strings.Repeat(bodyRequest(id), 3) }),
		writeWithSmallBuffer,
		writeNewTenants("n", "15000"),
	}
	kinds[number%len(kinds)](conn, number, stop)
}

// writeOnce returns a client that sends a text after the start of a head, and then waits.
func writeOnce(fields string) hostileClient {
	return func(conn net.Conn, _ int, stop <-chan struct{}) {
		io.WriteString(conn, "GET /c/x HTTP/1.1\r\nHost: x\r\n"+fields)
		<-stop
	}
}

// writeNumbered returns a client that sends a text and reads nothing. The text depends on the
// number of the client.
func writeNumbered(text func(number int) string) hostileClient {
	return func(conn net.Conn, number int, stop <-chan struct{}) {
		io.WriteString(conn, text(number))
		<-stop
	}
}

// writeNewTenants returns a client that sends requests of ever new tenants as fast as they are
// answered, and stops at once unless it is one of the first ones.
func writeNewTenants(plan, milliseconds string) hostileClient {
	const clients, tenantsPerClient = 10, 1 << 24
	return func(conn net.Conn, number int, _ <-chan struct{}) {
		if number >= clients {
			return
		}
		go io.Copy(io.Discard, conn)
		for id := 1 + number*tenantsPerClient; ; id++ {
			text := strings.Replace(readRequest(id, milliseconds), "Api-Plan: p", "Api-Plan: "+plan, 1)
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

// differentFields returns the lines of count fields with different names.
func differentFields(count int) string {
	var fields strings.Builder
	for i := range count {
		fmt.Fprintf(&fields, "a%d:\r\n", i)
	}
	return fields.String()
}

// readRequest returns a request that is safe to repeat, of a tenant of its own.
func readRequest(id int, milliseconds string) string {
	return fmt.Sprintf("GET /c/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %016x\r\nX-Qos: c\r\nApi-Plan: p\r\nApi-Customer: %016x\r\n"+
		"X-Expires-In-Ms: %s\r\nApi-Terms: units=1,spread=1,first=0\r\n\r\n", id, id, milliseconds)
}

// bodyRequest returns a request with the largest body.
func bodyRequest(id int) string {
	return fmt.Sprintf("POST /b/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %016x\r\nX-Qos: b\r\nApi-Plan: p\r\nApi-Customer: %016x\r\n"+
		"X-Expires-In-Ms: 4000\r\nApi-Terms: units=1,spread=1,first=0\r\nContent-Length: %d\r\n\r\n%s",
		id, id, config.MaxBodyBytes, strings.Repeat("x", config.MaxBodyBytes))
}
