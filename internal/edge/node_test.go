package edge

import (
	"io"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

type panickingGateway struct{}

func (panickingGateway) Step(policy.Time, policy.Event, []policy.Action) []policy.Action {
	panic("test")
}

// Guards against a node that goes on receiving requests after its policy has panicked and
// never answers them: it ends with an error instead.
func TestPolicyPanics(t *testing.T) {
	r := startNode(t, testConfig(t), startApp(t, say(hello)).addr)
	r.node.mu.Lock()
	r.node.gateway = panickingGateway{}
	r.node.mu.Unlock()
	io.WriteString(r.dial(), clientRequest("lookup", "00000000000000aa"))
	select {
	case err := <-r.done:
		if err == nil {
			t.Error("ended with no error")
		}
	case <-time.After(patience):
		t.Fatal("the node goes on")
	}
}
