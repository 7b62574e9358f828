package edge

import (
	"io"
	"testing"

	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// panickingGateway is a policy that panics at each event.
type panickingGateway struct{}

// Step implements policyGateway.
func (panickingGateway) Step(policy.Time, policy.Event, []policy.Action) []policy.Action {
	panic("test")
}

// TestPolicyPanicEndsNode checks that a node whose policy has panicked ends with an error, instead
// of receiving further requests that it would never answer.
func TestPolicyPanicEndsNode(t *testing.T) {
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	h.node.mu.Lock()
	h.node.gateway = panickingGateway{}
	h.node.mu.Unlock()
	io.WriteString(h.dial(), clientRequest("lookup", "00000000000000aa"))
	if err := testsupport.Receive(t, "the end of the node", h.done); err == nil {
		t.Error("the node ended without an error")
	}
}
