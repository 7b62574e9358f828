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
	"swiftpitch/internal/upstream"
)

// Guards the memory that answers take: a large answer waits until the budget has room for it, a
// small one does not, and the memory is released after the answer and if the client leaves.
func TestLargeAnswersWaitForMemory(t *testing.T) {
	for name, chunked := range map[string]bool{"with a length": false, "chunked": true} {
		t.Run(name, func(t *testing.T) {
			endpoint := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
				size := frontend.MaxBodyBytes
				if strings.HasSuffix(req.Header.Get("X-Trace-Id"), "5a") {
					size = upstream.UnreservedBodyBytes
				}
				text := strings.Repeat("x", size)
				if chunked {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, text)
				} else {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, text)
				}
				return true
			})
			h := startNode(t, testConfig(t), endpoint.Addr)
			all := h.node.memoryBudget.Free()
			h.node.memoryBudget.Reserve(all)
			if resp, body := h.dial().roundTrip(clientRequest("lookup", "000000000000005a")); resp.StatusCode != http.StatusOK || len(body) != upstream.UnreservedBodyBytes {
				t.Errorf("small answer: status %d, %d bytes, want %d, %d", resp.StatusCode, len(body), http.StatusOK, upstream.UnreservedBodyBytes)
			}
			leaving, staying := h.dial(), h.dial()
			io.WriteString(leaving, clientRequest("merge", "00000000000000aa"))
			io.WriteString(staying, clientRequest("merge", "00000000000000bb"))
			testsupport.Eventually(t, "the attempts", func() bool { return len(endpoint.Requests()) == 3 })
			leaving.Close()
			testsupport.Eventually(t, "the end of the first request", func() bool { return h.openRequests() == 1 })
			h.node.memoryBudget.Release(all)
			if resp, body := staying.readResponse(); resp.StatusCode != http.StatusOK || len(body) != frontend.MaxBodyBytes {
				t.Errorf("large answer: status %d, %d bytes, want %d, %d", resp.StatusCode, len(body), http.StatusOK, frontend.MaxBodyBytes)
			}
			testsupport.Eventually(t, "the release of the memory", func() bool { return h.node.memoryBudget.Free() == all })
		})
	}
}
