package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"swiftpitch/internal/frontend"
	"swiftpitch/internal/testsupport"
)

// awaitReadAhead waits until the node has read at least want bytes ahead on its only connection.
func awaitReadAhead(h *harness, want int) {
	h.t.Helper()
	testsupport.Eventually(h.t, fmt.Sprintf("%d bytes read ahead", want), func() bool {
		stats := h.node.clientConns.Stats()
		return stats.ReadAhead == 1 && stats.ReadAheadBytes >= want
	})
}

// TestReadAheadBytesAreServedInOrder checks that the requests that a client pipelines while its
// first one is in flight are all answered, in order. The node reads them ahead up to
// MaxReadAheadBytes and to what the memory budget allows. While the kernel holds more than that, it
// is not known whether the client is still connected, so the requests are rejected and none of them
// is forwarded; from then on all are served.
func TestReadAheadBytesAreServedInOrder(t *testing.T) {
	for name, memory := range map[string]int64{"enough memory": 1 << 20, "little memory": 2 * frontend.ReadAheadChunkBytes} {
		t.Run(name, func(t *testing.T) { testBytesReadAhead(t, memory) })
	}
}

// testBytesReadAhead runs the test with a memory budget of which memory bytes are free.
func testBytesReadAhead(t *testing.T, memory int64) {
	release := make(chan struct{})
	endpoint := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, body []byte) bool {
		<-release
		id := req.Header.Get("X-Trace-Id")
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(id)+len(body), id, body)
		return err == nil
	})
	cfg := testConfig(t)
	cfg.Settings.Plans[0].Rate, cfg.Settings.Plans[0].Burst = 1e5, 1e5
	h := startNode(t, cfg, endpoint.Addr)
	h.node.memoryBudget.Reserve(h.node.memoryBudget.Free() - memory)
	c := h.dial()
	io.WriteString(c, clientRequest("lookup", numberedID(0)))
	testsupport.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	text, count := numberedRequests(2 * frontend.MaxReadAheadBytes)
	wrote := make(chan error, 1)
	go func() {
		_, err := io.WriteString(c, text)
		wrote <- err
	}()
	awaitReadAhead(h, int(min(memory, frontend.MaxReadAheadBytes)))
	if left := h.node.memoryBudget.Free(); left < 0 || left > max(memory-frontend.MaxReadAheadBytes+2*frontend.ReadAheadChunkBytes, 0) {
		t.Errorf("%d bytes of the memory budget are free, want 0 to %d",
			left, max(memory-frontend.MaxReadAheadBytes+2*frontend.ReadAheadChunkBytes, 0))
	}
	close(release)
	if resp, body := c.readResponse(); resp.StatusCode != http.StatusOK || body != numberedID(0) {
		t.Fatalf("response 0: status %d, body %q, want %d, %q", resp.StatusCode, body, http.StatusOK, numberedID(0))
	}
	rejected := map[string]bool{}
	lastStatus := 0
	for i := 1; i <= count; i++ {
		want := numberedID(i) + numberedBody(i)
		resp, body := c.readResponse()
		lastStatus = resp.StatusCode
		if lastStatus == statusRejected && body == "" {
			rejected[numberedID(i)] = true
			continue
		}
		if lastStatus != http.StatusOK || body != want {
			t.Fatalf("response %d: status %d, body %q, want %d, %q", i, lastStatus, body, http.StatusOK, want)
		}
	}
	if lastStatus != http.StatusOK {
		t.Errorf("the last response has status %d, want %d, as all data has been read", lastStatus, http.StatusOK)
	}
	if err := <-wrote; err != nil {
		t.Errorf("writing the pipelined requests: %v", err)
	}
	received := endpoint.Requests()
	if got := len(received); got != 1+count-len(rejected) {
		t.Errorf("the endpoint received %d requests, want %d: all but the rejected ones", got, 1+count-len(rejected))
	}
	for _, request := range received {
		if id := request[strings.LastIndexByte(request, ' ')+1:]; rejected[id] {
			t.Errorf("the endpoint received the request %s, which was rejected", id)
		}
	}
	c.Close()
	testsupport.Eventually(t, "the release of the memory", func() bool { return h.node.memoryBudget.Free() == memory })
}

// numberedRequests returns the text of requests 1 to count, which has at least minBytes. Their IDs
// and bodies contain the number, so that a lost or reordered request is detected.
func numberedRequests(minBytes int) (text string, count int) {
	var requests strings.Builder
	for requests.Len() < minBytes {
		count++
		requests.WriteString(clientRequest("merge", numberedID(count), "0123456789", numberedBody(count)))
	}
	return requests.String(), count
}

// numberedID returns the ID of request i.
func numberedID(i int) string { return fmt.Sprintf("%016x", i) }

// numberedBody returns the body of request i.
func numberedBody(i int) string { return fmt.Sprintf("%08d--", i) }

// TestPipelinedRequestsAreServedInOrder checks that the requests that a client pipelines while its
// first one is in flight are all served, in order, if they fit the read-ahead buffer.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	release := make(chan struct{})
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondAfter(release, testsupport.RespondOK))
	cfg := testConfig(t)
	cfg.Settings.Plans[0].Rate, cfg.Settings.Plans[0].Burst = 1e5, 1e5
	h := startNode(t, cfg, endpoint.Addr)
	c := h.dial()
	io.WriteString(c, clientRequest("lookup", numberedID(0)))
	testsupport.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	text, count := numberedRequests(frontend.MaxReadAheadBytes * 9 / 10)
	io.WriteString(c, text)
	awaitReadAhead(h, len(text)-1)
	close(release)
	for i := range 1 + count {
		if resp, _ := c.readResponse(); resp.StatusCode != http.StatusOK {
			t.Fatalf("response %d: status %d, want %d", i, resp.StatusCode, http.StatusOK)
		}
	}
	for i, request := range endpoint.Requests() {
		if !strings.HasSuffix(request, numberedID(i)) {
			t.Fatalf("request %d at the endpoint is %q, want the ID %s", i, request, numberedID(i))
		}
	}
}

// TestShutdownServesReadAheadRequest checks that a request of which only a part has been read ahead
// when the shutdown begins is served: its connection does not count as idle.
func TestShutdownServesReadAheadRequest(t *testing.T) {
	release := make(chan struct{})
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondAfter(release, testsupport.RespondOK))
	h := startNode(t, testConfig(t), endpoint.Addr)
	h.node.phases.readDuration, h.node.phases.answerTimeout = testsupport.MaxWait, testsupport.MaxWait
	c := h.dial()
	io.WriteString(c, clientRequest("lookup", "00000000000000aa"))
	testsupport.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	next := clientRequest("lookup", "00000000000000bb")
	io.WriteString(c, next[:40])
	awaitReadAhead(h, 39)
	close(release)
	c.readResponse()
	h.stop()
	testsupport.Eventually(t, "the start of draining", h.node.clientConns.Draining)
	if resp, _ := c.roundTrip(next[40:]); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, Connection: close %v, want %d, true", resp.StatusCode, resp.Close, http.StatusOK)
	}
}
