package edge

import (
	"swiftpitch/internal/counterclient"
	"swiftpitch/internal/policy"
)

// counterTimeoutFactor times the configured counter timeout is the time that a call may take.
// The total in a late response is still valid, and the policy makes no request wait for longer
// than one counter timeout.
const counterTimeoutFactor = 4

// newCounterClient returns a client of the counter service at address. Node.mu guards it.
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

// addToCounter starts a call to the counter. Without a counter the call fails at once. The
// caller holds n.mu.
func (n *Node) addToCounter(addition policy.AddToCounter) {
	if n.counter == nil {
		n.dispatch(policy.CounterReplied{Key: addition.Key, Outcome: policy.ConnectFailed})
		return
	}
	n.counter.Add(addition, counterTimeoutFactor*n.cfg.Settings.Accounting.CounterTimeout)
}
