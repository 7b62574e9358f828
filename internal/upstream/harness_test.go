package upstream

import (
	"net"
	"testing"
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// getRequest is a request without a body.
func getRequest(path string) net.Buffers {
	return net.Buffers{[]byte("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")}
}

// newTestPool returns a pool with the settings of a usual site that knows one serving
// endpoint, "s-0" at addr.
func newTestPool(addr string) (*Pool, *Endpoint) {
	pool := NewPool(&config.Settings{
		EndpointRules: config.EndpointRules{DrainGrace: 2 * time.Second},
		Limits:        config.Limits{DialTimeout: 250 * time.Millisecond, EndpointIdleTimeout: 15 * time.Second},
	}, 0)
	pool.UpdateEndpoint(EndpointUpdate{ID: "s-0", Addr: addr, State: policy.Serving}, time.Now())
	return pool, pool.Endpoint("s-0")
}

// addIdleConn puts an idle connection to an endpoint into the pool.
func addIdleConn(t *testing.T, pool *Pool, endpoint *Endpoint) {
	t.Helper()
	if !pool.Reserve() {
		t.Fatal("no slot for a connection")
	}
	pool.Release(NewConn(testsupport.Dial(t, endpoint.Addr()), endpoint, endpoint.Addr()))
}
