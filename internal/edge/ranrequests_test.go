package edge

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"swiftpitch/internal/testsupport"
)

// Guards against an unsafe request that runs twice because its ID comes again after its client has
// left or has got its answer. A request that may be repeated, or that certainly did not run, is
// served again.
func TestUnsafeRequestDoesNotRunAgainUnderItsID(t *testing.T) {
	const id = "00000000000000aa"
	never := testsupport.RespondWith(neverRanResponse)
	failed := testsupport.RespondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
	for _, test := range []struct {
		name, class string
		first       testsupport.Responder // answers the first attempt; nil: the client leaves while it is in flight
		runs        int                   // of the request, after it has come twice
	}{
		{"client left, not idempotent", "merge", nil, 1},
		{"client left, idempotent by key", "save", nil, 1},
		{"client left, idempotent", "lookup", nil, 2},
		{"served, not idempotent", "merge", testsupport.RespondOK, 1},
		{"failed, not idempotent", "merge", failed, 1},
		{"certainly not run", "merge", never, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			attempts := make(chan struct{}, 8)
			ended := make(chan struct{})
			t.Cleanup(func() { close(ended) })
			endpoint := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, body []byte) bool {
				attempts <- struct{}{}
				if len(attempts) > 1 {
					return testsupport.RespondOK(c, req, body)
				}
				if test.first != nil {
					return test.first(c, req, body)
				}
				<-ended
				return false
			})
			h := startNode(t, testConfig(t), endpoint.Addr)
			c := h.dial()
			io.WriteString(c, clientRequest(test.class, id))
			if test.first != nil {
				c.readResponse()
			}
			testsupport.Eventually(t, "the attempt", func() bool { return len(attempts) == 1 })
			c.Close()
			testsupport.Eventually(t, "the end of the request", func() bool { return h.openRequests() == 0 })
			resp, _ := h.dial().roundTrip(clientRequest(test.class, id))
			if served := resp.StatusCode == http.StatusOK; served != (test.runs == 2) || len(attempts) != test.runs {
				t.Errorf("the second time: status %d, %d attempts in all; want %d attempts", resp.StatusCode, len(attempts), test.runs)
			}
		})
	}
}

// Guards the memory for IDs: they are forgotten when they are too old or too many.
func TestIDsOfRanRequestsAreForgotten(t *testing.T) {
	ran := newRanRequests()
	now := time.Unix(1, 0)
	for i := range 2 * maxRanRequests {
		ran.add(numberedID(i), now)
	}
	if len(ran.ids) != maxRanRequests || ran.contains(numberedID(maxRanRequests-1)) || !ran.contains(numberedID(maxRanRequests)) {
		t.Errorf("%d IDs are remembered, want the last %d", len(ran.ids), maxRanRequests)
	}
	ran.add("00000000000000AA", now.Add(ranRequestMemory+1))
	if len(ran.ids) != 1 || !ran.contains("00000000000000aa") {
		t.Errorf("%d IDs are remembered after %v, want the one added then", len(ran.ids), ranRequestMemory)
	}
}
