package edge

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"swiftpitch/internal/frontend"
	"swiftpitch/internal/testsupport"
)

// unlimitedData is far more than the buffers of a connection's two ends hold.
const unlimitedData = 16 << 20

// writeTimeout is how long a client of these tests waits for a connection that takes no more data.
const writeTimeout = 200 * time.Millisecond

// Guards against attempts for a client that has left behind data that the node has not read: more
// than fits the read-ahead buffer, or more than the kernel takes. The node must neither retry the
// request that was in flight nor forward those that the client sent behind it.
func TestNoAttemptAfterClientLeftBehindUnreadData(t *testing.T) {
	for name, size := range map[string]int{"100 KiB": 100 << 10, "400 KiB": 400 << 10, "more than the kernel takes": unlimitedData} {
		for _, memory := range []int64{64 << 20, 2 * frontend.ReadAheadChunkBytes} {
			t.Run(name, func(t *testing.T) { testClientLeavesBehind(t, size, memory) })
		}
	}
}

// testClientLeavesBehind runs the test with a client that writes size bytes of further requests, or
// as much as the connection takes. memory bytes of the memory budget are free.
func testClientLeavesBehind(t *testing.T, size int, memory int64) {
	release := make(chan struct{})
	h, requests := startNodeWithoutCancel(t, release)
	h.node.memoryBudget.Reserve(h.node.memoryBudget.Free() - memory)
	c := h.dial()
	io.WriteString(c, clientRequest("lookup", "00000000000000aa"))
	testsupport.Eventually(t, "the attempt", func() bool { return len(requests()) == 1 })
	next := clientRequest("lookup", "00000000000000bb")
	text := strings.Repeat(next, size/len(next))
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	io.WriteString(c, text)
	awaitReadAhead(h, int(min(memory, frontend.MaxReadAheadBytes)))
	c.Close()
	h.ageRequests(time.Second)
	close(release)
	testsupport.Eventually(t, "the end of the connection", func() bool { return h.node.clientConns.Stats().Open == 0 })
	testsupport.Eventually(t, "the end of all requests", func() bool { return h.openRequests() == 0 })
	if got := requests(); len(got) != 1 {
		t.Errorf("the endpoints received %d requests, want the first attempt only", len(got))
	}
}

// ageRequests lets the open requests have been received earlier.
func (h *harness) ageRequests(age time.Duration) {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	for _, r := range h.node.requests {
		r.receivedAt = r.receivedAt.Add(-age)
	}
}

// Guards the deadline that endpoints get for a request that waited behind another one of the same
// client: it counts from when the request arrived, not from when its turn came.
func TestWaitingRequestKeepsItsDeadline(t *testing.T) {
	release := make(chan struct{})
	deadlines := make(chan string, 2)
	endpoint := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, body []byte) bool {
		deadlines <- req.Header.Get("X-Expires-In-Ms")
		<-release
		return testsupport.RespondOK(c, req, body)
	})
	h := startNode(t, testConfig(t), endpoint.Addr)
	c := h.dial()
	io.WriteString(c, clientRequest("merge", "00000000000000aa"))
	testsupport.Receive(t, "the first request", deadlines)
	next := clientRequest("merge", "00000000000000bb")
	io.WriteString(c, next)
	awaitReadAhead(h, len(next)-1)
	const wait = 200 * time.Millisecond
	arrivedAt := time.Now()
	testsupport.Eventually(t, "some of the request's time to pass", func() bool { return time.Since(arrivedAt) >= wait })
	close(release)
	milliseconds, err := strconv.Atoi(testsupport.Receive(t, "the second request", deadlines))
	if limit := 3*time.Second - wait; err != nil || milliseconds > int(limit.Milliseconds()) {
		t.Errorf("the endpoint is told %d ms, error %v; want at most %v", milliseconds, err, limit)
	}
	c.readResponse()
	c.readResponse()
}

// Guards against requests that were read and then lost: a client that has sent further requests
// before the shutdown gets all answers, and only the last one closes the connection.
func TestShutdownAnswersAllPipelinedRequests(t *testing.T) {
	for name, readAhead := range map[string]bool{"in one read with the first": false, "read ahead": true} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			endpoint := testsupport.StartFakeServer(t, testsupport.RespondAfter(release, testsupport.RespondOK))
			h := startNode(t, testConfig(t), endpoint.Addr)
			h.node.phases.readDuration, h.node.phases.answerTimeout = testsupport.MaxWait, testsupport.MaxWait
			c := h.dial()
			var first, further string
			const count = 4
			for i := range count {
				text := clientRequest("lookup", numberedID(i))
				if readAhead && i > 0 {
					further += text
				} else {
					first += text
				}
			}
			io.WriteString(c, first)
			testsupport.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
			if readAhead {
				io.WriteString(c, further)
				awaitReadAhead(h, len(further)-1)
			}
			h.stop()
			testsupport.Eventually(t, "the start of draining", h.node.clientConns.Draining)
			close(release)
			for i := range count {
				resp, _ := c.readResponse()
				if last := i == count-1; resp.StatusCode != http.StatusOK || resp.Close != last {
					t.Errorf("response %d: status %d, Connection: close %v; want %d, %v", i, resp.StatusCode, resp.Close, http.StatusOK, last)
				}
			}
		})
	}
}
