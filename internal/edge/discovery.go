package edge

import (
	"swiftpitch/internal/discovery"
)

// newDiscoveryClient returns a client that watches or polls discovery and passes each list of
// endpoints to applyList. Node.mu guards its address.
func (n *Node) newDiscoveryClient(address string) *discovery.Client {
	return discovery.New(address, discovery.Options{
		Lock:       &n.mu,
		Timing:     discovery.NewTiming(n.cfg.Settings),
		Seed:       n.cfg.Seed,
		CachedList: n.cfg.CachedList,
		OnList:     n.applyList,
		Log:        n.log,
	})
}

// ChangeAddresses sets the addresses of discovery and the counter for all further calls, as
// when the configuration is reloaded. Responses of the previous discovery service to the call in
// progress, and of the previous counter to earlier calls, are still used. An
// empty counterAddress leaves the counter's address unchanged. It may be called from any
// goroutine.
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
