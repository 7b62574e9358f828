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

// Guards the limit on client connections: clients that keep idle connections do not keep
// others out; the connection that has been idle for longest is evicted.
func TestClientLimit(t *testing.T) {
	cfg := testConfig(t)
	cfg.MaxDescriptors = 22 // 6 more than are reserved, half of them for clients
	h := startNode(t, cfg, testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	if limit := h.node.clients.Stats().MaxConns; limit != 3 {
		t.Fatalf("the limit is %d connections, want 3", limit)
	}
	testsupport.Eventually(t, "the end of the connections before", func() bool { return h.node.clients.Stats().Open == 0 })
	var all []*client
	for i := range 4 {
		c := h.dial()
		all = append(all, c)
		if resp, _ := c.roundTrip(clientRequest("lookup", fmt.Sprintf("%016x", i))); resp.StatusCode != http.StatusOK {
			t.Fatalf("connection %d: status %d", i, resp.StatusCode)
		}
		// The tracker learns only after the client has its answer that the connection is
		// idle. The next connection waits for that, so that they become idle in order.
		testsupport.Eventually(t, fmt.Sprintf("connection %d idle", i), func() bool { return h.node.clients.Stats().Idle == min(i+1, 3) })
	}
	all[0].SetReadDeadline(time.Now().Add(testsupport.MaxWait / 4))
	if _, err := all[0].reader.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection idle for longest is still open: %v", err)
	}
	for i, c := range all[1:] {
		c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := c.reader.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("another connection, %d: %v", i+1, err)
		}
	}
}

// Guards the order of eviction on a whole node: half a request proves nothing of its
// connection, a served request does.
func TestOnlyServedRequestProvesConnection(t *testing.T) {
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	testsupport.Eventually(t, "the end of the connections before", func() bool { return h.node.clients.Stats().Open == 0 })
	c := h.dial()
	text := clientRequest("lookup", "00000000000000aa")
	io.WriteString(c, text[:len(text)/2])
	testsupport.Eventually(t, "the connection", func() bool { return h.node.clients.Stats().Open == 1 })
	if proven := h.node.clients.Stats().SentRequest; proven != 0 {
		t.Errorf("%d connections have sent a whole request after half a request, want 0", proven)
	}
	if resp, _ := c.roundTrip(text[len(text)/2:]); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if proven := h.node.clients.Stats().SentRequest; proven != 1 {
		t.Errorf("%d connections have sent a whole request after a served request, want 1", proven)
	}
}

// Guards the descriptors that connections to neither clients nor endpoints may take, also where there are few.
func TestReservedDescriptors(t *testing.T) {
	for _, sockets := range []int{24, 40, 64, 99, 256, 1024} {
		cfg := testConfig(t)
		cfg.MaxDescriptors = sockets
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		clients := n.clients.Stats().MaxConns
		if clients < 1 || n.pool.MaxConns() < 1 || clients+n.pool.MaxConns()+reservedDescriptors > sockets {
			t.Errorf("of %d descriptors %d are for clients and %d for endpoints", sockets, clients, n.pool.MaxConns())
		}
	}
}
