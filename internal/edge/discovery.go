package edge

import (
	"swiftpitch/internal/discovery"
)

// newDiscoveryClient returns the client that follows the list of endpoints. The node's lock
// guards its address.
func (n *Node) newDiscoveryClient(address string) *discovery.Client {
	return discovery.New(address, discovery.Options{
		Lock:   &n.mu,
		Timing: discovery.NewTiming(n.cfg.Settings),
		Seed:   n.cfg.Seed,
		Known:  n.cfg.KnownEndpoints,
		OnList: n.applyList,
		Log:    n.log,
	})
}

// ChangeAddresses moves the node to new addresses of discovery and the counter. Responses
// that the previous ones still owe count. An empty counter address leaves that one as it
// is. It may be called from any goroutine.
func (n *Node) ChangeAddresses(discoveryAddress, counterAddress string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.discovery.ChangeAddress(discoveryAddress)
	if n.counter != nil && counterAddress != "" {
		n.counter.ChangeAddress(counterAddress)
	}
}
