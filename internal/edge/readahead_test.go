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
func TestBytesReadAheadAreKept(t *testing.T) {
	const (
		readAheadChunk = 512                            // bytes that internal/frontend reads at a time
		maxReadAhead   = 16<<10 + frontend.MaxBodyBytes // bytes that it keeps: one whole request
		small          = 2 * readAheadChunk
	)
	for name, room := range map[string]int64{"memory for all": 1 << 20, "little memory": small} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			endpoint := testsupport.StartFakeEndpoint(t, func(c net.Conn, req *http.Request, body []byte) bool {
				<-release
				id := req.Header.Get("X-Trace-Id")
				_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(id)+len(body), id, body)
				return err == nil
			})
			cfg := testConfig(t)
			cfg.Settings.Plans[0].Rate, cfg.Settings.Plans[0].Burst = 1e5, 1e5
			h := startNode(t, cfg, endpoint.Addr)
			h.node.memory.Reserve(h.node.memory.Free() - room)
			c := h.dial()
			io.WriteString(c, clientRequest("lookup", "0000000000000000"))
			testsupport.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
			var text strings.Builder
			n := 1
			for ; text.Len() < 2*maxReadAhead; n++ { // lines and bodies that tell if one is lost or out of place
				body := fmt.Sprintf("%08d--", n)
				text.WriteString(clientRequest("merge", fmt.Sprintf("%016x", n), "0123456789", body))
			}
			wrote := make(chan error, 1)
			go func() {
				_, err := io.WriteString(c, text.String())
				wrote <- err
			}()
			awaitReadAhead(h, int(min(room, maxReadAhead)))
			if left := h.node.memory.Free(); left < 0 || left > max(room-maxReadAhead+2*readAheadChunk, 0) {
				t.Errorf("%d of %d bytes are left while %d are kept", left, room, maxReadAhead)
			}
			close(release)
			for i := range n {
				want := fmt.Sprintf("%016x", i)
				if i > 0 {
					want += fmt.Sprintf("%08d--", i)
				}
				if resp, body := c.readResponse(); resp.StatusCode != http.StatusOK || body != want {
					t.Fatalf("answer %d: status %d, %q", i, resp.StatusCode, body)
				}
			}
			if err := <-wrote; err != nil {
				t.Error(err)
			}
			if k := len(endpoint.Requests()); k != n {
				t.Errorf("endpoint got %d requests, want %d", k, n)
			}
			c.Close()
			testsupport.Eventually(t, "the release of the memory", func() bool { return h.node.memory.Free() == room })
		})
	}
}

// Guards a begun request that was read ahead when the shutdown begins: its connection is not
// idle, and the request is served.
func TestShutdownCrossesBytesReadAhead(t *testing.T) {
	release := make(chan struct{})
	endpoint := testsupport.StartFakeEndpoint(t, func(c net.Conn, req *http.Request, body []byte) bool {
		<-release
		return testsupport.RespondOK(c, req, body)
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	h.node.phases.read, h.node.phases.answer = testsupport.MaxWait, testsupport.MaxWait
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
