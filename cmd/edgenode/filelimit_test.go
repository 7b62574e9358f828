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
	fileLimit         = 64 // file descriptors that the process may hold
	endpointFiles     = 24 // of these for endpoints
	clientFiles       = 24 // and for clients
	idleClients       = 150
	maxIdleReconnects = 9 // of each idle client whose connection is closed
	openFilesSamples  = 200
)

// Guards the descriptors: idle clients take all that they may while discovery, the counter and
// an endpoint are down. The process stays up and answers the requests that it has received;
// what is left holds all the connections to endpoints that there may be, so that accepting
// never fails for want of one; and it gets its connections to discovery, the counter and the
// endpoint as soon as these are back.
func TestIdleClientsLeaveDescriptorsForOtherConnections(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) { testIdleClients(t, mode) })
	}
}

// testIdleClients runs the test in one of discovery's modes.
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
		t.Errorf("the request received before is answered %s", body)
	}

	counterCalls := serveCounter(counter)
	newEndpoint.serve(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "new") })
	discoveryCalls := serveDiscovery(discovery, newEndpoint)
	requests := 0
	testsupport.Eventually(t, "an answer by the endpoint that discovery lists now", func() bool {
		requests++
		body, err := node.request(t.Context(), fmt.Sprintf("%016x", 0xb0+requests))
		return err == nil && body == "new"
	})
	expectCall(t, "discovery", discoveryCalls)
	expectCall(t, "the counter", counterCalls)
	stopClients()
	node.shutDown(t)
}

// serveCounter begins to serve as the counter and returns a channel that takes the first call.
func serveCounter(counter *reservedAddress) (calls <-chan string) {
	first := make(chan string, 1)
	counter.serve(func(w http.ResponseWriter, req *http.Request) {
		notifyFirst(first, req.RequestURI)
		io.WriteString(w, "1")
	})
	return first
}

// serveDiscovery begins to serve as discovery, which lists one endpoint and then nothing newer.
// It returns a channel that takes the first call.
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

// fileLimitConfig returns the configuration of a node that knows one endpoint.
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

// instanceJSON returns discovery's entry for an endpoint.
func instanceJSON(id string, endpoint *reservedAddress) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"lifecycle":"SERVING","weight":1,"startedAtMs":0}`, id, endpoint.address)
}

// checkFreeFiles waits until the idle clients hold all descriptors that they may, and checks
// that those left suffice for the endpoints, discovery and the counter.
func checkFreeFiles(t *testing.T, node *nodeProcess) {
	t.Helper()
	testsupport.Eventually(t, "the descriptors for clients to be used up", func() bool { return node.openFiles(t) >= clientFiles })
	maxOpen := 0
	for range openFilesSamples {
		maxOpen = max(maxOpen, node.openFiles(t))
	}
	if maxOpen+endpointFiles+2 > fileLimit {
		t.Errorf("%d of %d descriptors are in use, %d more may be for endpoints, 2 for discovery and the counter",
			maxOpen, fileLimit, endpointFiles)
	}
}

// startIdleClients connects idle clients to an address until ctx ends, and returns when each has
// connected or failed to. Half of them send the beginning of a request, the others nothing.
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

// runIdleClient connects, and again a few times where its connection is closed, until ctx ends
// or it can't connect. It calls connected after the first time.
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

// notifyFirst sends the first of some messages; the others are dropped, so that nobody waits.
func notifyFirst(messages chan<- string, message string) {
	select {
	case messages <- message:
	default:
	}
}

// expectCall waits for a call of the process to one of its peers.
func expectCall(t *testing.T, peer string, calls <-chan string) {
	t.Helper()
	testsupport.Receive(t, "a call to "+peer, calls)
}
