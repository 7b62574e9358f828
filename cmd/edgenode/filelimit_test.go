package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"swiftpitch/internal/testsupport"
)

const (
	fileLimit         = 64 // file descriptors that the process may have open
	endpointFiles     = 24 // of these for connections to endpoints
	clientFiles       = 24 // of these for connections of clients
	idleClients       = 150
	maxIdleReconnects = 9   // per idle client, after the node closes its connection
	openFilesSamples  = 200 // counts of open descriptors from which the largest is taken
)

// Guards against idle clients that use up the file descriptors. They take all that are available
// to clients while discovery, the counter and an endpoint are down. The process must stay up and
// answer the requests it has received; the remaining descriptors must suffice for the maximum
// number of connections to endpoints, so that accept never fails for lack of descriptors; and the
// process must connect to discovery, the counter and the endpoint as soon as they are back.
func TestIdleClientsLeaveDescriptorsForOtherConnections(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) { testIdleClients(t, mode) })
	}
}

// testIdleClients runs the test in one mode of discovery.
func testIdleClients(t *testing.T, discoveryMode string) {
	discovery, counter := newReservedAddress(t), newReservedAddress(t)
	knownEndpoint, newEndpoint := newReservedAddress(t), newReservedAddress(t)
	path := writeConfig(t, fileLimitConfig(discoveryMode, discovery, counter, knownEndpoint))
	node := startNode(t, path, fileLimit)

	received, release := make(chan string, 1), make(chan struct{})
	knownEndpoint.serve(func(w http.ResponseWriter, _ *http.Request) {
		notifyFirst(received, "known")
		<-release
		io.WriteString(w, "known")
	})
	answered := make(chan string, 1)
	go func() {
		body, err := node.request(t.Context(), "00000000000000aa")
		answered <- fmt.Sprint(body, err)
	}()
	<-received

	ctx, stopClients := context.WithCancel(t.Context())
	defer stopClients()
	startIdleClients(ctx, t, node.address)
	checkFreeFiles(t, node)
	close(release)
	if body := <-answered; body != "known<nil>" {
		t.Errorf("the request received before the idle clients came was answered %q, want %q", body, "known<nil>")
	}

	counterCalls := serveCounter(counter)
	newEndpoint.serve(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "new") })
	discoveryCalls := serveDiscovery(discovery, newEndpoint)
	requests := 0
	testsupport.Eventually(t, "an answer of the new endpoint", func() bool {
		requests++
		body, err := node.request(t.Context(), fmt.Sprintf("%016x", 0xb0+requests))
		return err == nil && body == "new"
	})
	expectCall(t, "discovery", discoveryCalls)
	expectCall(t, "the counter", counterCalls)
	stopClients()
	node.shutDown(t)
}

// serveCounter starts a counter at the address and returns a channel that receives the request
// URI of the first call.
func serveCounter(counter *reservedAddress) (calls <-chan string) {
	first := make(chan string, 1)
	counter.serve(func(w http.ResponseWriter, req *http.Request) {
		notifyFirst(first, req.RequestURI)
		io.WriteString(w, "1")
	})
	return first
}

// serveDiscovery starts a discovery service at the address. It lists one endpoint, and holds calls
// that ask for later changes until they are canceled. It returns a channel that receives the
// request URI of the first call.
func serveDiscovery(discovery, listed *reservedAddress) (calls <-chan string) {
	first := make(chan string, 1)
	discovery.serve(func(w http.ResponseWriter, req *http.Request) {
		notifyFirst(first, req.RequestURI)
		if strings.Contains(req.URL.RawQuery, "index=42") {
			<-req.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"generation":42,"reset":true,"instances":[%s]}`, instanceJSON("new", listed))
	})
	return first
}

// fileLimitConfig returns the configuration of a node with one endpoint in its cached list.
func fileLimitConfig(discoveryMode string, discovery, counter, knownEndpoint *reservedAddress) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":192,"sockets":%d},"counter":%q,
 "known":{"generation":41,"reset":true,"instances":[%s]},
 "settings":{"membershipMode":%q,"nInstances":2,"limits":{"maxAttempts":1,"dialTimeout":250000000},
  "tiersOfService":[{"name":"p","refill":100,"depth":100,"worthFactor":1}],
  "familyInfo":{"counter":true,"countWait":80000000,"mostUnits":6},"contract":{"drainGrace":2000000000},
  "classes":[{"name":"c","effect":"repeatable","aim":15000000000,"deadline":15000000000,"value":1}]}}`,
		discovery.address, fileLimit, counter.address, instanceJSON("known", knownEndpoint), discoveryMode)
}

// instanceJSON returns the entry of an endpoint in discovery's list.
func instanceJSON(id string, endpoint *reservedAddress) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"lifecycle":"SERVING","weight":1,"startedAtMs":0}`, id, endpoint.address)
}

// checkFreeFiles waits until the idle clients hold all descriptors that clients may use, and
// checks that the remaining ones suffice for the endpoints, discovery and the counter.
func checkFreeFiles(t *testing.T, node *nodeProcess) {
	t.Helper()
	testsupport.Eventually(t, "use of all descriptors for clients", func() bool { return node.openFiles(t) >= clientFiles })
	maxOpen := 0
	for range openFilesSamples {
		maxOpen = max(maxOpen, node.openFiles(t))
	}
	if maxOpen+endpointFiles+2 > fileLimit {
		t.Errorf("%d of %d descriptors are open, want %d left for endpoints and 2 for discovery and the counter",
			maxOpen, fileLimit, endpointFiles)
	}
}

// startIdleClients starts idle clients that stay connected to an address until ctx ends. It returns
// when each has connected or failed to connect. Half of them send the first bytes of a request, the
// others send nothing.
func startIdleClients(ctx context.Context, t *testing.T, address string) {
	t.Helper()
	var all, connected sync.WaitGroup
	for i := range idleClients {
		connected.Add(1)
		firstBytes := ""
		if i%2 == 0 {
			firstBytes = "GET /c/x HTTP/1.1\r\nHost: x\r\nX-"
		}
		all.Go(func() { runIdleClient(ctx, address, firstBytes, connected.Done) })
	}
	t.Cleanup(all.Wait)
	connected.Wait()
}

// runIdleClient connects to an address, and reconnects up to maxIdleReconnects times when the
// connection is closed. It returns when ctx ends or a connection fails. It calls connected after
// the first attempt to connect.
func runIdleClient(ctx context.Context, address, firstBytes string, connected func()) {
	dialer := net.Dialer{Timeout: testsupport.MaxWait}
	for k := range 1 + maxIdleReconnects {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if k == 0 {
			connected()
		}
		if err != nil {
			return
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		if firstBytes != "" {
			io.WriteString(conn, firstBytes)
		}
		io.Copy(io.Discard, conn) // until it is closed
		stop()
		conn.Close()
	}
}

// notifyFirst sends a message to a channel with a buffer for one, or drops it if the buffer is full,
// so that handlers never block.
func notifyFirst(messages chan<- string, message string) {
	select {
	case messages <- message:
	default:
	}
}

// expectCall waits for the first call of the process to a peer.
func expectCall(t *testing.T, peer string, calls <-chan string) {
	t.Helper()
	testsupport.Receive(t, "a call to "+peer, calls)
}
