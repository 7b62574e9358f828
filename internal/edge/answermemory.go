package edge

import "time"

// memoryRetryInterval is how often an attempt tries to reserve memory for its answer.
const memoryRetryInterval = 5 * time.Millisecond

// reserveAnswer reserves memory for the answer of an attempt. If none is free, because clients do
// not take their answers, it waits until there is some, the attempt ends or the node closes. The
// attempt's goroutine calls it without holding n.mu.
func (n *Node) reserveAnswer(a *attempt, bytes int64) bool {
	if !n.memoryBudget.Reserve(bytes) {
		n.requestEvents.record(eventAnswerWaited, a.request.id)
		if !n.awaitMemory(a, bytes) {
			return false
		}
	}
	a.reserved = bytes
	return true
}

// awaitMemory waits until memory could be reserved, or an attempt has ended.
func (n *Node) awaitMemory(a *attempt, bytes int64) bool {
	for !n.memoryBudget.Reserve(bytes) {
		if n.hasEnded(a) {
			return false
		}
		time.Sleep(memoryRetryInterval)
	}
	return true
}

// hasEnded reports whether an attempt has ended or the node has closed.
func (n *Node) hasEnded(a *attempt) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a.ended || n.closed
}
