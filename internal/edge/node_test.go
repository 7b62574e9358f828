package edge

import (
	"io"
	"testing"

	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

type panickingGateway struct{}

func (panickingGateway) Step(policy.Time, policy.Event, []policy.Action) []policy.Action {
	panic("test")
}

// Guards against a node that goes on receiving requests after its policy has panicked and
// never answers them: it ends with an error instead.
func TestPolicyPanicEndsNode(t *testing.T) {
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	h.node.mu.Lock()
	h.node.gateway = panickingGateway{}
	h.node.mu.Unlock()
	io.WriteString(h.dial(), clientRequest("lookup", "00000000000000aa"))
	if err := testsupport.Receive(t, "the end of the node", h.done); err == nil {
		t.Error("ended with no error")
	}
}
