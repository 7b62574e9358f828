package edge

import "swiftpitch/internal/frontend"

const (
	// clientConnShare is the share of the file descriptors that client connections may use.
	clientConnShare = 0.42
	// clientConnMemoryShare is the share of the process's memory for client connections, each of
	// which takes up to bytesPerClientConn with its buffers, goroutines and attempt.
	clientConnMemoryShare = 0.42
	bytesPerClientConn    = 40 << 10
	// upstreamConnShare is the share of the file descriptors for connections to endpoints.
	upstreamConnShare = 0.42
	// reservedDescriptors is the number of file descriptors for all but connections to clients
	// and endpoints: three standard streams, two of the Go runtime, the listener, connections to
	// discovery and to the counter, each at the old and the new address, two more to discovery for
	// overdue calls, the configuration file while it is read, and new connections that are about to
	// evict others. Clients and endpoints get at most half of the rest each.
	reservedDescriptors = 18
	// defaultClientConns is the limit on client connections if the number of file descriptors is
	// not configured.
	defaultClientConns = 512

	// bodyMemoryShare is the share of the process's memory for the memory budget.
	bodyMemoryShare = 0.1
	// tenantMemoryShare is the share of the process's memory for the states of tenants, each of which
	// takes up to bytesPerTenant with its timers and what the garbage collector adds.
	tenantMemoryShare = 0.15
	bytesPerTenant    = 1200
	// defaultMaxTenants is the limit on tenants if the process's memory is not configured.
	defaultMaxTenants = 1 << 16

	// defaultBodyMemoryBytes is the memory budget if the process's memory is not configured.
	defaultBodyMemoryBytes = 64 << 20
)

// maxConns returns the limit on the connections of one kind, to clients or to endpoints, from
// the number of file descriptors of the process and the share of that kind.
func maxConns(descriptors int, share float64) int {
	return max(min(int(float64(descriptors)*share), (descriptors-reservedDescriptors)/2), 1)
}

// maxClientConns returns the limit on client connections. descriptors and memory, in bytes, are 0
// if they are not configured.
func maxClientConns(descriptors int, memory int64) int {
	limit := defaultClientConns
	if descriptors > 0 {
		limit = maxConns(descriptors, clientConnShare)
	}
	if memory > 0 {
		limit = min(limit, int(clientConnMemoryShare*float64(memory)/bytesPerClientConn))
	}
	return max(limit, 1)
}

// maxUpstreamConns returns the limit on connections to endpoints. descriptors is 0 if their
// number is not configured; the result is 0 then, which selects the pool's default.
func maxUpstreamConns(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return maxConns(descriptors, upstreamConnShare)
}

// bodyMemoryBudget returns the bytes that request bodies and read-ahead buffers may take
// together. memory, in bytes, is 0 if it is not configured. The budget always fits one body of
// the largest size.
func bodyMemoryBudget(memory int64) int64 {
	if memory <= 0 {
		return defaultBodyMemoryBytes
	}
	return max(int64(bodyMemoryShare*float64(memory)), frontend.MaxBodyBytes)
}

// maxTenants returns the limit on the tenants whose state the policy keeps. memory, in bytes, is 0
// if it is not configured.
func maxTenants(memory int64) int {
	if memory <= 0 {
		return defaultMaxTenants
	}
	return int(tenantMemoryShare * float64(memory) / bytesPerTenant)
}
