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

// malformedID is the ID of all requests in malformedRequests that have one.
const malformedID = "00000000000000aa"

// bodyTooLong is a body one byte over the limit.
var bodyTooLong = strings.Repeat("x", frontend.MaxBodyBytes+1)

// malformedRequests maps a short name of each defect to the text of a request that has it.
var malformedRequests = map[string]string{
	"unknown class":              clientRequest("lookup", malformedID, "X-Qos: lookup", "X-Qos: nothing"),
	"path not of the class":      clientRequest("lookup", malformedID, "/lookup/x", "/lookups"),
	"unknown plan":               clientRequest("lookup", malformedID, "basic", "gold"),
	"missing ID":                 clientRequest("lookup", malformedID, "X-Trace-Id: "+malformedID+"\r\n", ""),
	"two IDs":                    clientRequest("lookup", malformedID, "X-Qos", "X-Trace-Id: b\r\nX-Qos"),
	"short customer ID":          clientRequest("lookup", malformedID, "00000000b4d65521", "b4d65521"),
	"customer ID out of range":   clientRequest("lookup", malformedID, "00000000b4d65521", "00000002b4d65521"),
	"deadline not a number":      clientRequest("lookup", malformedID, "3000", "soon"),
	"zero deadline":              clientRequest("lookup", malformedID, "3000", "0"),
	"units not a number":         clientRequest("lookup", malformedID, "units=2", "units=NaN"),
	"units above the maximum":    clientRequest("lookup", malformedID, "units=2", "units=7"),
	"spread out of range":        clientRequest("lookup", malformedID, "spread=2", "spread=3"),
	"first out of range":         clientRequest("lookup", malformedID, "first=1", "first=2"),
	"missing term":               clientRequest("lookup", malformedID, ",first=1", ""),
	"wrong method":               clientRequest("merge", malformedID, "POST", "GET"),
	"missing idempotency key":    clientRequest("save", malformedID, "Idempotency-Key", "Other"),
	"unexpected idempotency key": clientRequest("merge", malformedID, "X-Qos", "Idempotency-Key: k\r\nX-Qos"),
	"body too long":              clientRequest("merge", malformedID, "Content-Length: 10", fmt.Sprintf("Content-Length: %d", len(bodyTooLong)), "0123456789", bodyTooLong),
	"chunked body too long": clientRequest("merge", malformedID, "Content-Length: 10", "Transfer-Encoding: chunked", "0123456789",
		fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(bodyTooLong), bodyTooLong)),
	"chunked body": clientRequest("merge", malformedID, "Content-Length: 10", "Transfer-Encoding: chunked", "0123456789",
		"a\r\n0123456789\r\n0\r\n\r\n"),
	"length and chunked":           clientRequest("merge", malformedID, "Content-Length: 10", "Content-Length: 10\r\nTransfer-Encoding: chunked", "0123456789", "0\r\n\r\nGET /x"),
	"length and chunked, HTTP/1.0": clientRequest("merge", malformedID, "HTTP/1.1", "HTTP/1.0", "Content-Length: 10", "Content-Length: 10\r\nTransfer-Encoding: chunked"),
	"two lengths":                  clientRequest("merge", malformedID, "Content-Length: 10", "Content-Length: 10\r\nContent-Length: 9"),
	"negative length":              clientRequest("merge", malformedID, "Content-Length: 10", "Content-Length: -10"),
	"ID not hexadecimal":           clientRequest("lookup", malformedID, malformedID, "00000000000000ag"),
	"hexadecimal units":            clientRequest("lookup", malformedID, "units=2", "units=0x1p1"),
	"units twice":                  clientRequest("lookup", malformedID, "units=2", "units=2,units=3"),
	"idempotency key not ASCII":    clientRequest("save", malformedID, "k-", "k\xff"),
	"target not ASCII":             clientRequest("lookup", malformedID, "?q=1", "?q=\xff"),
	"length not a number":          clientRequest("merge", malformedID, "Content-Length: 10", "Content-Length: ten"),
	"not HTTP":                     "\x00\x01\x02\r\n\r\n",
}

// TestMalformedRequests checks that malformed requests are answered with status 400 and not
// forwarded.
func TestMalformedRequests(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
	h := startNode(t, testConfig(t), endpoint.Addr)
	for name, text := range malformedRequests {
		t.Run(name, func(t *testing.T) {
			c := h.dial()
			go io.WriteString(c, text) // may fail once the node has answered and closed the connection
			if resp, _ := c.readResponse(); resp.StatusCode != http.StatusBadRequest {
				t.Errorf("status %d, want %d", resp.StatusCode, http.StatusBadRequest)
			}
		})
	}
	if got := endpoint.Requests(); len(got) > 0 {
		t.Errorf("the endpoint received %q, want no request", got)
	}
}

// TestReadTimeout checks that the read timeout ends a connection without a request, with part of a
// head or with part of a body, but not one with a complete request whose response takes longer.
func TestReadTimeout(t *testing.T) {
	endpoint := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, body []byte) bool {
		time.Sleep(frontend.ReadTimeout + 100*time.Millisecond) // simulates the request's processing
		return testsupport.RespondOK(c, req, body)
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	requestText := clientRequest("merge", "00000000000000aa", "X-Expires-In-Ms: 3000", "X-Expires-In-Ms: 4000")
	complete := h.dial()
	io.WriteString(complete, requestText)
	var incomplete []*client
	for _, text := range []string{"", requestText[:60], strings.Replace(requestText, "0123456789", "012", 1)} {
		c := h.dial()
		io.WriteString(c, text)
		incomplete = append(incomplete, c)
	}
	if resp, body := complete.readResponse(); resp.StatusCode != http.StatusOK || body != "hello" {
		t.Errorf("complete request: status %d, body %q, want %d, %q", resp.StatusCode, body, http.StatusOK, "hello")
	}
	for i, c := range incomplete {
		if text, err := io.ReadAll(c.reader); err != nil || i == 2 && !strings.HasPrefix(string(text), "HTTP/1.1 400") {
			t.Errorf("incomplete request %d: read %q and error %v, want the end of the connection, after status 400 for request 2", i, text, err)
		}
	}
}

// TestBodyMemoryBudget checks that a request whose body exceeds what is left of the memory budget is
// rejected before the body is read, that requests with short bodies are still served, and that a
// request's memory is free again once it is answered.
func TestBodyMemoryBudget(t *testing.T) {
	release := make(chan struct{})
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondAfter(release, testsupport.RespondOK))
	cfg := testConfig(t)
	cfg.MemoryBytes = frontend.MaxBodyBytes * 10 // the budget is one body of the largest size
	h := startNode(t, cfg, endpoint.Addr)
	first := h.dial()
	long := []string{"Content-Length: 10", fmt.Sprintf("Content-Length: %d", frontend.MaxBodyBytes), "0123456789", strings.Repeat("z", frontend.MaxBodyBytes)}
	io.WriteString(first, clientRequest("merge", "00000000000000aa", long...))
	testsupport.Eventually(t, "the first request", func() bool { return len(endpoint.Requests()) == 1 })
	over := h.dial()
	go io.WriteString(over, clientRequest("merge", "00000000000000bb", long...)) // may fail once the node has answered and closed the connection
	if resp, _ := over.readResponse(); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("over the budget: status %d, want %d", resp.StatusCode, http.StatusServiceUnavailable)
	}
	small := h.dial() // long bodies do not keep out requests with short ones
	io.WriteString(small, clientRequest("merge", "00000000000000dd"))
	testsupport.Eventually(t, "the request with a short body", func() bool { return len(endpoint.Requests()) == 2 })
	close(release)
	if resp, _ := small.readResponse(); resp.StatusCode != http.StatusOK {
		t.Errorf("short body: status %d, want %d", resp.StatusCode, http.StatusOK)
	}
	if resp, _ := first.readResponse(); resp.StatusCode != http.StatusOK {
		t.Errorf("first long body: status %d, want %d", resp.StatusCode, http.StatusOK)
	}
	if resp, _ := h.dial().roundTrip(clientRequest("merge", "00000000000000cc", long...)); resp.StatusCode != http.StatusOK {
		t.Errorf("long body after the first is answered: status %d, want %d", resp.StatusCode, http.StatusOK)
	}
}

// TestLargestBodyIsForwarded checks a request body and a response body of the largest allowed size.
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
		t.Errorf("status %d, body of %d bytes, want %d and the %d bytes that were sent", resp.StatusCode, len(got), http.StatusOK, len(body))
	}
}
