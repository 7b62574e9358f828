package edge

import (
	"swiftpitch/internal/counterclient"
	"swiftpitch/internal/policy"
)

// counterTimeoutFactor is how many of the settings' counter timeouts a call has: a response
// that comes late is as true, and the policy holds no request for longer than one.
const counterTimeoutFactor = 4

// newCounterClient returns the client of the counter service at address. The node's lock
// guards it.
func (n *Node) newCounterClient(address string) *counterclient.Client {
	return counterclient.New(address, counterclient.Options{
		Context:     n.ctx,
		Lock:        &n.mu,
		DialTimeout: n.pool.DialTimeout(),
		Go:          n.workers.Go,
		AfterFunc:   n.afterFunc,
		OnReply:     func(reply policy.CounterReplied) { n.dispatch(reply) },
	})
}

// addToCounter begins a call to the counter. The lock is held.
func (n *Node) addToCounter(addition policy.AddToCounter) {
	if n.counter == nil {
		n.dispatch(policy.CounterReplied{Key: addition.Key, Outcome: policy.ConnectFailed})
		return
	}
	n.counter.Add(addition, counterTimeoutFactor*n.cfg.Settings.Accounting.CounterTimeout)
}
