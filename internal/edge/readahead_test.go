package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"swiftpitch/internal/frontend"
)

// awaitReadAhead waits until the node has read so many bytes ahead on its one connection.
func awaitReadAhead(r *rig, want int) {
	r.t.Helper()
	eventually(r.t, "the reading ahead", func() bool {
		stats := r.node.clients.Stats()
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
			let := make(chan struct{})
			app := startApp(t, func(c net.Conn, req *http.Request, body []byte) bool {
				<-let
				id := req.Header.Get("X-Trace-Id")
				_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(id)+len(body), id, body)
				return err == nil
			})
			cfg := testConfig(t)
			cfg.Settings.Plans[0].Rate, cfg.Settings.Plans[0].Burst = 1e5, 1e5
			r := startNode(t, cfg, app.addr)
			r.node.memory.Reserve(r.node.memory.Free() - room)
			c := r.dial()
			io.WriteString(c, clientRequest("lookup", "0000000000000000"))
			eventually(t, "the attempt", func() bool { return len(app.requests()) == 1 })
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
			awaitReadAhead(r, int(min(room, maxReadAhead)))
			if left := r.node.memory.Free(); left < 0 || left > max(room-maxReadAhead+2*readAheadChunk, 0) {
				t.Errorf("%d of %d bytes are left while %d are kept", left, room, maxReadAhead)
			}
			close(let)
			for i := range n {
				want := fmt.Sprintf("%016x", i)
				if i > 0 {
					want += fmt.Sprintf("%08d--", i)
				}
				if resp, body := c.answer(); resp.StatusCode != http.StatusOK || body != want {
					t.Fatalf("answer %d: status %d, %q", i, resp.StatusCode, body)
				}
			}
			if err := <-wrote; err != nil {
				t.Error(err)
			}
			if k := len(app.requests()); k != n {
				t.Errorf("app server got %d requests, want %d", k, n)
			}
			c.Close()
			eventually(t, "the release of the memory", func() bool { return r.node.memory.Free() == room })
		})
	}
}

// Guards a begun request that was read ahead when the shutdown begins: its connection is not
// idle, and the request is served.
func TestShutdownCrossesBytesReadAhead(t *testing.T) {
	let := make(chan struct{})
	app := startApp(t, func(c net.Conn, req *http.Request, body []byte) bool {
		<-let
		return say(hello)(c, req, body)
	})
	r := startNode(t, testConfig(t), app.addr)
	r.node.phases.read, r.node.phases.answer = patience, patience
	c := r.dial()
	io.WriteString(c, clientRequest("lookup", "00000000000000aa"))
	eventually(t, "the attempt", func() bool { return len(app.requests()) == 1 })
	next := clientRequest("lookup", "00000000000000bb")
	io.WriteString(c, next[:40])
	awaitReadAhead(r, 39)
	close(let)
	c.answer()
	r.stop()
	eventually(t, "the drain", r.node.clients.Draining)
	if resp, _ := c.ask(next[40:]); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, closing %v", resp.StatusCode, resp.Close)
	}
}
