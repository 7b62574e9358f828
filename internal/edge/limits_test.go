package edge

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"testing"
	"time"

	"swiftpitch/internal/testsupport"
)

// TestClientLimit checks that idle connections at the limit on client connections do not keep out
// new ones: the connection that has been idle for longest is evicted.
func TestClientLimit(t *testing.T) {
	cfg := testConfig(t)
	cfg.MaxDescriptors = reservedDescriptors + 6 // half of these 6 are for clients
	h := startNode(t, cfg, testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	if limit := h.node.clientConns.Stats().MaxConns; limit != 3 {
		t.Fatalf("the limit is %d client connections, want 3", limit)
	}
	testsupport.Eventually(t, "the close of earlier connections", func() bool { return h.node.clientConns.Stats().Open == 0 })
	var all []*client
	for i := range 4 {
		c := h.dial()
		all = append(all, c)
		if resp, _ := c.roundTrip(clientRequest("lookup", fmt.Sprintf("%016x", i))); resp.StatusCode != http.StatusOK {
			t.Fatalf("connection %d: status %d, want %d", i, resp.StatusCode, http.StatusOK)
		}
		// The tracker notices that the connection is idle only after the client has its answer.
		// The next connection waits for that, so that they become idle in order.
		testsupport.Eventually(t, fmt.Sprintf("connection %d idle", i), func() bool { return h.node.clientConns.Stats().Idle == min(i+1, 3) })
	}
	all[0].SetReadDeadline(time.Now().Add(testsupport.MaxWait / 4))
	if _, err := all[0].reader.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("connection 0, idle for longest: read error %v, want the end of the connection", err)
	}
	for i, c := range all[1:] {
		c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := c.reader.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("connection %d: read error %v, want %v, as it is still open", i+1, err, os.ErrDeadlineExceeded)
		}
	}
}

// TestPartialRequestDoesNotCountAsSent checks that a connection counts as having sent a request
// after a whole one but not after half of one. Connections that have not are evicted sooner.
func TestPartialRequestDoesNotCountAsSent(t *testing.T) {
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	testsupport.Eventually(t, "the close of earlier connections", func() bool { return h.node.clientConns.Stats().Open == 0 })
	c := h.dial()
	text := clientRequest("lookup", "00000000000000aa")
	io.WriteString(c, text[:len(text)/2])
	testsupport.Eventually(t, "the connection", func() bool { return h.node.clientConns.Stats().Open == 1 })
	if count := h.node.clientConns.Stats().SentRequest; count != 0 {
		t.Errorf("%d connections count as having sent a request after half of one, want 0", count)
	}
	if resp, _ := c.roundTrip(text[len(text)/2:]); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d, want %d", resp.StatusCode, http.StatusOK)
	}
	if count := h.node.clientConns.Stats().SentRequest; count != 1 {
		t.Errorf("%d connections count as having sent a request after a served one, want 1", count)
	}
}

// TestReservedDescriptors checks that the limits on connections to clients and endpoints leave
// reservedDescriptors free, also if the process may have few descriptors.
func TestReservedDescriptors(t *testing.T) {
	for _, descriptors := range []int{24, 40, 64, 99, 256, 1024} {
		cfg := testConfig(t)
		cfg.MaxDescriptors = descriptors
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		clients := n.clientConns.Stats().MaxConns
		if clients < 1 || n.pool.MaxConns() < 1 || clients+n.pool.MaxConns()+reservedDescriptors > descriptors {
			t.Errorf("%d descriptors: %d for clients and %d for endpoints, want at least 1 each and %d left",
				descriptors, clients, n.pool.MaxConns(), reservedDescriptors)
		}
	}
}

// Guards the memory against as many clients as the descriptors allow: little memory lowers the limit
// on client connections, but not below the third of the descriptors that clients hold for requests.
func TestLittleMemoryLimitsClientConnections(t *testing.T) {
	const mb = 1 << 20
	for _, test := range []struct {
		descriptors int
		memory      int64
		want        int
	}{{1024, 0, 430}, {1024, 192 * mb, 430}, {1024, 48 * mb, 430}, {1024, 32 * mb, 344}, {256, 32 * mb, 107}, {0, 0, defaultClientConns}} {
		if got := maxClientConns(test.descriptors, test.memory); got != test.want {
			t.Errorf("%d descriptors, %d bytes: %d client connections, want %d", test.descriptors, test.memory, got, test.want)
		}
	}
}
