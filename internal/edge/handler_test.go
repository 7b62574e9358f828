package edge

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"swiftpitch/internal/frontend"
	"swiftpitch/internal/testsupport"
)

const malformedID = "00000000000000aa"

var bodyTooLong = strings.Repeat("x", frontend.MaxBodyBytes+1)

// malformedRequests is the text of requests that are malformed, by what is wrong with them.
var malformedRequests = map[string]string{
	"class":         clientRequest("lookup", malformedID, "X-Qos: lookup", "X-Qos: nothing"),
	"path":          clientRequest("lookup", malformedID, "/lookup/x", "/lookups"),
	"plan":          clientRequest("lookup", malformedID, "basic", "gold"),
	"id":            clientRequest("lookup", malformedID, "X-Trace-Id: "+malformedID+"\r\n", ""),
	"id twice":      clientRequest("lookup", malformedID, "X-Qos", "X-Trace-Id: b\r\nX-Qos"),
	"customer":      clientRequest("lookup", malformedID, "00000000b4d65521", "b4d65521"),
	"customer high": clientRequest("lookup", malformedID, "00000000b4d65521", "00000002b4d65521"),
	"deadline":      clientRequest("lookup", malformedID, "3000", "soon"),
	"deadline none": clientRequest("lookup", malformedID, "3000", "0"),
	"units":         clientRequest("lookup", malformedID, "units=2", "units=NaN"),
	"units many":    clientRequest("lookup", malformedID, "units=2", "units=7"),
	"spread":        clientRequest("lookup", malformedID, "spread=2", "spread=3"),
	"first":         clientRequest("lookup", malformedID, "first=1", "first=2"),
	"terms":         clientRequest("lookup", malformedID, ",first=1", ""),
	"method":        clientRequest("merge", malformedID, "POST", "GET"),
	"no key":        clientRequest("save", malformedID, "Idempotency-Key", "Other"),
	"key":           clientRequest("merge", malformedID, "X-Qos", "Idempotency-Key: k\r\nX-Qos"),
	"body":          clientRequest("merge", malformedID, "Content-Length: 10", fmt.Sprintf("Content-Length: %d", len(bodyTooLong)), "0123456789", bodyTooLong),
	"chunked body": clientRequest("merge", malformedID, "Content-Length: 10", "Transfer-Encoding: chunked", "0123456789",
		fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(bodyTooLong), bodyTooLong)),
	"chunked in the limit": clientRequest("merge", malformedID, "Content-Length: 10", "Transfer-Encoding: chunked", "0123456789",
		"a\r\n0123456789\r\n0\r\n\r\n"),
	"both framings":   clientRequest("merge", malformedID, "Content-Length: 10", "Content-Length: 10\r\nTransfer-Encoding: chunked", "0123456789", "0\r\n\r\nGET /x"),
	"both, HTTP/1.0":  clientRequest("merge", malformedID, "HTTP/1.1", "HTTP/1.0", "Content-Length: 10", "Content-Length: 10\r\nTransfer-Encoding: chunked"),
	"lengths":         clientRequest("merge", malformedID, "Content-Length: 10", "Content-Length: 10\r\nContent-Length: 9"),
	"length negative": clientRequest("merge", malformedID, "Content-Length: 10", "Content-Length: -10"),
	"id form":         clientRequest("lookup", malformedID, malformedID, "00000000000000ag"),
	"units hex":       clientRequest("lookup", malformedID, "units=2", "units=0x1p1"),
	"units twice":     clientRequest("lookup", malformedID, "units=2", "units=2,units=3"),
	"key bytes":       clientRequest("save", malformedID, "k-", "k\xff"),
	"target bytes":    clientRequest("lookup", malformedID, "?q=1", "?q=\xff"),
	"length":          clientRequest("merge", malformedID, "Content-Length: 10", "Content-Length: ten"),
	"noise":           "\x00\x01\x02\r\n\r\n",
}

// Guards against malformed requests: they are answered 400 and nothing of them reaches an
// endpoint.
func TestMalformedRequests(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	h := startNode(t, testConfig(t), endpoint.Addr)
	for name, text := range malformedRequests {
		t.Run(name, func(t *testing.T) {
			c := h.dial()
			go io.WriteString(c, text) // may be cut short by the answer
			if resp, _ := c.readResponse(); resp.StatusCode != http.StatusBadRequest {
				t.Errorf("status %d", resp.StatusCode)
			}
		})
	}
	if got := endpoint.Requests(); len(got) > 0 {
		t.Errorf("endpoint got %q", got)
	}
}

// Guards the bounds on the time for a request: they end a silent connection, half
// a head and a body that never comes whole, and do not end a request that was read
// whole and whose response takes longer.
func TestReadTimeout(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, body []byte) bool {
		time.Sleep(frontend.ReadTimeout + 100*time.Millisecond) // the work
		return testsupport.RespondOK(c, req, body)
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	whole := clientRequest("merge", "00000000000000aa", "X-Expires-In-Ms: 3000", "X-Expires-In-Ms: 4000")
	good := h.dial()
	io.WriteString(good, whole)
	var bad []*client
	for _, text := range []string{"", whole[:60], strings.Replace(whole, "0123456789", "012", 1)} {
		c := h.dial()
		io.WriteString(c, text)
		bad = append(bad, c)
	}
	if resp, body := good.readResponse(); resp.StatusCode != http.StatusOK || body != "hello" {
		t.Errorf("status %d, body %q", resp.StatusCode, body)
	}
	for i, c := range bad {
		if text, err := io.ReadAll(c.reader); err != nil || i == 2 && !strings.HasPrefix(string(text), "HTTP/1.1 400") {
			t.Errorf("bad client %d read %q, %v", i, text, err)
		}
	}
}

// Guards against bodies that do not fit the memory together: what exceeds the budget is
// rejected unread, and the memory is free again once other requests are done.
func TestBodyMemoryBudget(t *testing.T) {
	release := make(chan struct{})
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondAfter(release, testsupport.RespondOK))
	cfg := testConfig(t)
	cfg.MemoryBytes = frontend.MaxBodyBytes * 10 // one body of the largest size
	h := startNode(t, cfg, endpoint.Addr)
	first := h.dial()
	long := []string{"Content-Length: 10", fmt.Sprintf("Content-Length: %d", frontend.MaxBodyBytes), "0123456789", strings.Repeat("z", frontend.MaxBodyBytes)}
	io.WriteString(first, clientRequest("merge", "00000000000000aa", long...))
	testsupport.Eventually(t, "the first request", func() bool { return len(endpoint.Requests()) == 1 })
	over := h.dial()
	go io.WriteString(over, clientRequest("merge", "00000000000000bb", long...)) // may be cut short
	if resp, _ := over.readResponse(); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("over the budget: status %d", resp.StatusCode)
	}
	small := h.dial() // long bodies do not keep out the usual ones
	io.WriteString(small, clientRequest("merge", "00000000000000dd"))
	testsupport.Eventually(t, "the small request", func() bool { return len(endpoint.Requests()) == 2 })
	close(release)
	if resp, _ := small.readResponse(); resp.StatusCode != http.StatusOK {
		t.Errorf("small: status %d", resp.StatusCode)
	}
	if resp, _ := first.readResponse(); resp.StatusCode != http.StatusOK {
		t.Errorf("first: status %d", resp.StatusCode)
	}
	if resp, _ := h.dial().roundTrip(clientRequest("merge", "00000000000000cc", long...)); resp.StatusCode != http.StatusOK {
		t.Errorf("after it: status %d", resp.StatusCode)
	}
}

// Guards bodies of the largest size in both directions.
func TestLargestBodyIsForwarded(t *testing.T) {
	body := bytes.Repeat([]byte("z"), frontend.MaxBodyBytes)
	endpoint := testsupport.StartFakeServer(t, func(c net.Conn, _ *http.Request, got []byte) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(got), got)
		return true
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	resp, got := h.dial().roundTrip(clientRequest("merge", "00000000000000aa", "Content-Length: 10",
		fmt.Sprintf("Content-Length: %d", len(body)), "0123456789", string(body)))
	if resp.StatusCode != http.StatusOK || got != string(body) {
		t.Errorf("status %d, %d bytes", resp.StatusCode, len(got))
	}
}
