package edge

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// failDials lets the node's dials to endpoints fail with an error of connect(2) while fails reports
// true.
func (h *harness) failDials(errno syscall.Errno, fails func() bool) {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	h.node.dial = func(_ context.Context, network, addr string) (net.Conn, error) {
		if fails() {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
		}
		return net.Dial(network, addr)
	}
}

// Guards endpoints against blame for dials that fail for a cause on this machine: such a dial is
// repeated, and if it keeps failing, the attempt ends as not sent and the request as rejected.
func TestLocalDialErrorsAreNotBlamedOnEndpoints(t *testing.T) {
	for _, test := range []struct {
		name        string
		errno       syscall.Errno
		failures    int64 // of dials, before they succeed
		wantStatus  int
		wantOutcome policy.Outcome
	}{
		{"no local address, once", syscall.EADDRNOTAVAIL, 1, http.StatusOK, policy.Succeeded},
		{"no route, for a while", syscall.ENETUNREACH, 4, http.StatusOK, policy.Succeeded},
		{"no buffer, once", syscall.ENOBUFS, 1, http.StatusOK, policy.Succeeded},
		{"no file, once", syscall.ENFILE, 1, http.StatusOK, policy.Succeeded},
		{"no descriptor, always", syscall.EMFILE, 1 << 32, statusRejected, policy.NotSent},
		{"refused, always", syscall.ECONNREFUSED, 1 << 32, statusRejected, policy.ConnectFailed},
		{"no host, always", syscall.EHOSTUNREACH, 1 << 32, statusRejected, policy.ConnectFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
			h := startNode(t, testConfig(t), endpoint.Addr)
			var dials atomic.Int64
			h.failDials(test.errno, func() bool { return dials.Add(1) <= test.failures })
			recorder := attemptRecorder{policyGateway: h.node.gateway, ended: make(chan policy.AttemptEnded, 8)}
			h.node.mu.Lock()
			h.node.gateway = recorder
			h.node.mu.Unlock()
			if resp, _ := h.dial().roundTrip(clientRequest("merge", "00000000000000aa")); resp.StatusCode != test.wantStatus {
				t.Errorf("status %d, want %d", resp.StatusCode, test.wantStatus)
			}
			if ended := testsupport.Receive(t, "the end of the attempt", recorder.ended); ended.Outcome != test.wantOutcome {
				t.Errorf("the attempt ends with outcome %d, want %d", ended.Outcome, test.wantOutcome)
			}
		})
	}
}
