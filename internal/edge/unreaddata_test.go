package edge

import (
	"io"
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
	close(release)
	testsupport.Eventually(t, "the end of the connection", func() bool { return h.node.clientConns.Stats().Open == 0 })
	testsupport.Eventually(t, "the end of all requests", func() bool { return h.openRequests() == 0 })
	if got := requests(); len(got) != 1 {
		t.Errorf("the endpoints received %d requests, want the first attempt only", len(got))
	}
}
