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

// awaitReadAhead waits until the node has read so many bytes ahead on its one connection.
func awaitReadAhead(h *harness, want int) {
	h.t.Helper()
	testsupport.Eventually(h.t, "the reading ahead", func() bool {
		stats := h.node.clients.Stats()
		return stats.ReadAhead == 1 && stats.ReadAheadBytes >= want
	})
}

// Guards what a client sends while its request is in flight: it is kept in its order, up
// to a bound and to what the memory budget allows, and served once its turn comes.
func TestReadAheadBytesAreServedInOrder(t *testing.T) {
	for name, memory := range map[string]int64{"memory for all": 1 << 20, "little memory": 2 * frontend.ReadAheadChunkBytes} {
		t.Run(name, func(t *testing.T) { testBytesReadAhead(t, memory) })
	}
}

// testBytesReadAhead runs the test with so many bytes left of the memory budget.
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
	h.node.memory.Reserve(h.node.memory.Free() - memory)
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
	if left := h.node.memory.Free(); left < 0 || left > max(memory-frontend.MaxReadAheadBytes+2*frontend.ReadAheadChunkBytes, 0) {
		t.Errorf("%d of %d bytes are left while %d are kept", left, memory, frontend.MaxReadAheadBytes)
	}
	close(release)
	if resp, body := c.readResponse(); resp.StatusCode != http.StatusOK || body != numberedID(0) {
		t.Fatalf("response 0: status %d, %q", resp.StatusCode, body)
	}
	for i := 1; i <= count; i++ {
		want := numberedID(i) + numberedBody(i)
		if resp, body := c.readResponse(); resp.StatusCode != http.StatusOK || body != want {
			t.Fatalf("response %d: status %d, %q", i, resp.StatusCode, body)
		}
	}
	if err := <-wrote; err != nil {
		t.Error(err)
	}
	if got := len(endpoint.Requests()); got != 1+count {
		t.Errorf("endpoint got %d requests, want %d", got, 1+count)
	}
	c.Close()
	testsupport.Eventually(t, "the release of the memory", func() bool { return h.node.memory.Free() == memory })
}

// numberedRequests returns the text of requests 1 to count, of at least minBytes together. Ids
// and bodies tell if one is lost or out of place.
func numberedRequests(minBytes int) (text string, count int) {
	var requests strings.Builder
	for requests.Len() < minBytes {
		count++
		requests.WriteString(clientRequest("merge", numberedID(count), "0123456789", numberedBody(count)))
	}
	return requests.String(), count
}

func numberedID(i int) string { return fmt.Sprintf("%016x", i) }

func numberedBody(i int) string { return fmt.Sprintf("%08d--", i) }

// Guards a begun request that was read ahead when the shutdown begins: its connection is not
// idle, and the request is served.
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
	testsupport.Eventually(t, "the drain", h.node.clients.Draining)
	if resp, _ := c.roundTrip(next[40:]); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, closing %v", resp.StatusCode, resp.Close)
	}
}
