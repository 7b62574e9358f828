package edge

import "swiftpitch/internal/frontend"

const (
	// clientConnShare is the share of the descriptors that client connections may take.
	clientConnShare = 0.42
	// upstreamConnShare is the share of the descriptors that connections to endpoints may take.
	upstreamConnShare = 0.42
	// reservedDescriptors is what the process needs beside the connections of clients and to
	// endpoints: its three streams, the runtime's two, the listener, a connection to discovery
	// and to the counter at the old address and the new one, the configuration while it is
	// read, and new connections that are about to evict others. The rest is for both alike.
	reservedDescriptors = 16
	// defaultClientConns is how many connections clients may have where the number of
	// descriptors is not configured.
	defaultClientConns = 512

	// bodyMemoryShare is the share of the memory that bodies in hand may take.
	bodyMemoryShare = 0.1
	// defaultBodyMemoryBytes is how many bytes those may take where the memory is not configured.
	defaultBodyMemoryBytes = 64 << 20
)

// maxConns is how many connections of a kind there may be, by the descriptors that
// the process may hold and the kind's share of them.
func maxConns(descriptors int, share float64) int {
	return max(min(int(float64(descriptors)*share), (descriptors-reservedDescriptors)/2), 1)
}

// maxClientConns is how many connections clients may have; descriptors is 0 where their
// number is not configured.
func maxClientConns(descriptors int) int {
	if descriptors <= 0 {
		return defaultClientConns
	}
	return maxConns(descriptors, clientConnShare)
}

// maxUpstreamConns is how many connections to endpoints there may be; descriptors is 0
// where their number is not configured, and the result 0 leaves it to the pool.
func maxUpstreamConns(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return maxConns(descriptors, upstreamConnShare)
}

// bodyMemoryBudget is how many bytes bodies in hand may take; memory is 0 where it is not
// configured. One body of the largest size always fits.
func bodyMemoryBudget(memory int64) int64 {
	if memory <= 0 {
		return defaultBodyMemoryBytes
	}
	return max(int64(bodyMemoryShare*float64(memory)), frontend.MaxBodyBytes)
}
