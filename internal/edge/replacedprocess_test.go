package edge

import (
	"io"
	"testing"

	"swiftpitch/internal/discovery"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// attemptRecorder records how attempts end.
type attemptRecorder struct {
	policyGateway
	ended chan policy.AttemptEnded
}

// Step implements policyGateway.
func (r attemptRecorder) Step(now policy.Time, event policy.Event, out []policy.Action) []policy.Action {
	if event, ok := event.(policy.AttemptEnded); ok {
		r.ended <- event
	}
	return r.policyGateway.Step(now, event, out)
}

// Guards against work that goes to a new process in place of the one that it was meant for: if
// discovery reports another process at an endpoint's address while a connection is dialed,
// nothing is written to that connection, and it does not stay in the pool.
func TestConnectionToReplacedProcessIsNotUsed(t *testing.T) {
	for name, instance := range map[string]discovery.Instance{
		"restarted":                      {ID: "s-0", StartedAtMS: 1},
		"another endpoint, old one gone": {ID: "s-9"},
		"moved":                          {ID: "s-0", HostPort: "127.0.0.1:9"},
	} {
		for _, class := range []string{"lookup", "merge"} {
			t.Run(name+", "+class, func(t *testing.T) {
				endpoint := testsupport.StartFakeServer(t, testsupport.RespondOK)
				h := startNode(t, testConfig(t), endpoint.Addr)
				first := make(chan struct{}, 1)
				first <- struct{}{}
				started, release := h.blockDials(func() bool {
					select {
					case <-first:
						return true
					default:
						return false
					}
				})
				recorder := attemptRecorder{policyGateway: h.node.gateway, ended: make(chan policy.AttemptEnded, 8)}
				h.node.mu.Lock()
				h.node.gateway = recorder
				h.node.mu.Unlock()
				c := h.dial()
				io.WriteString(c, clientRequest(class, "00000000000000aa"))
				testsupport.Receive(t, "the dial", started)
				listed := instance
				listed.Zone = "a"
				listed.Lifecycle = discovery.Serving
				if listed.HostPort == "" {
					listed.HostPort = endpoint.Addr
				}
				h.node.applyList(discovery.List{Generation: 2, Instances: []discovery.Instance{listed}}, policy.IncrementalUpdate)
				close(release)
				ended := testsupport.Receive(t, "the end of the attempt", recorder.ended)
				if ended.Endpoint != "s-0" || ended.Outcome != policy.ConnectFailed {
					t.Errorf("the attempt at %s ends with outcome %d, want s-0, %d", ended.Endpoint, ended.Outcome, policy.ConnectFailed)
				}
				c.readResponse()
				h.node.mu.Lock()
				defer h.node.mu.Unlock()
				if old := h.node.pool.Endpoint("s-0"); old != nil && len(old.IdleConns()) > 0 {
					t.Error("the connection is in the pool")
				}
			})
		}
	}
}

// Guards against reuse of a connection whose process was replaced while it carried a request.
func TestConnectionInUseIsNotKeptForReplacedProcess(t *testing.T) {
	release := make(chan struct{})
	endpoint := testsupport.StartFakeServer(t, testsupport.RespondAfter(release, testsupport.RespondOK))
	h := startNode(t, testConfig(t), endpoint.Addr)
	c := h.dial()
	io.WriteString(c, clientRequest("merge", "00000000000000aa"))
	testsupport.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	restarted := discovery.Instance{ID: "s-0", HostPort: endpoint.Addr, Zone: "a", Lifecycle: discovery.Serving, StartedAtMS: 1}
	h.node.applyList(discovery.List{Generation: 2, Instances: []discovery.Instance{restarted}}, policy.IncrementalUpdate)
	close(release)
	c.readResponse()
	testsupport.Eventually(t, "the end of the request", func() bool { return h.openRequests() == 0 })
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	if open := h.node.pool.OpenConns(); open != 0 {
		t.Errorf("%d connections are open, want none", open)
	}
}
