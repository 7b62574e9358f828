package upstream

import (
	"net"
	"testing"
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// getRequest returns a GET request.
func getRequest(path string) net.Buffers {
	return net.Buffers{[]byte("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")}
}

// newTestPool returns a pool with typical settings and one serving endpoint, "s-0" at addr.
func newTestPool(addr string) (*Pool, *Endpoint) {
	pool := NewPool(&config.Settings{
		EndpointRules: config.EndpointRules{DrainGrace: 2 * time.Second},
		Limits:        config.Limits{DialTimeout: 250 * time.Millisecond, EndpointIdleTimeout: 15 * time.Second},
	}, 0)
	pool.UpdateEndpoint(EndpointUpdate{ID: "s-0", Addr: addr, State: policy.Serving}, time.Now())
	return pool, pool.Endpoint("s-0")
}

// addIdleConn adds an idle connection to an endpoint to the pool.
func addIdleConn(t *testing.T, pool *Pool, endpoint *Endpoint) {
	t.Helper()
	if !pool.Reserve() {
		t.Fatal("the pool has no free slot for an idle connection")
	}
	pool.Release(NewConn(testsupport.Dial(t, endpoint.Addr()), endpoint, endpoint.Process()))
}

// reserveAll is a ReserveMemory that always succeeds.
func reserveAll(int64) bool { return true }
