// Package counterclient adds to the fleet's shared counters over one pipelined HTTP/1.1
// connection to the counter service.
//
// A client has no lock of its own. Its owner's lock, [Options.Lock], guards all its state: the
// owner holds the lock when it calls a method of [Client], from any goroutine, and the client
// holds it when it calls [Options.OnReply]. The client never blocks while the lock is held.
package counterclient

import (
	"context"
	"sync"
	"time"

	"swiftpitch/internal/policy"
)

// maxPendingCalls limits the calls that are queued or in flight. Further calls fail at once.
const maxPendingCalls = 512

// Options configures a [Client]. All fields are required.
type Options struct {
	Context     context.Context // closes the connection when it ends
	Lock        sync.Locker     // guards the client
	DialTimeout time.Duration   // limits the time to establish a connection

	// Go runs a function in a goroutine for which the owner waits when it shuts down.
	Go func(func())
	// AfterFunc runs a function with Lock held after a delay, unless the owner has shut down.
	AfterFunc func(time.Duration, func()) *time.Timer
	// OnReply receives the outcome of each call, exactly once. It is called with Lock held and
	// may call [Client.Add].
	OnReply func(policy.CounterReplied)
}

// Client makes calls to the counter service over one pipelined connection, which it dials
// when a call is queued. The caller of every method must hold the owner's lock.
type Client struct {
	lock    sync.Locker // the owner's; guards the fields below that change
	options Options

	address string
	queue   []*pendingCall // not yet written, oldest first
	active  *connection    // writes the queued calls; nil if there is none
}

// New returns a client of the counter service at address (host:port). It does not connect
// before the first call.
func New(address string, options Options) *Client {
	return &Client{lock: options.Lock, options: options, address: address}
}

// Add starts a call. [Options.OnReply] receives its outcome after timeout at the latest, or
// after unresponsiveTimeout if timeout is not positive.
func (c *Client) Add(addition policy.AddToCounter, timeout time.Duration) {
	if c.pending() >= maxPendingCalls {
		c.options.OnReply(policy.CounterReplied{Key: addition.Key, Outcome: policy.ConnectFailed})
		return
	}
	if timeout <= 0 {
		timeout = unresponsiveTimeout
	}
	call := newPendingCall(c.address, addition)
	call.timer = c.options.AfterFunc(timeout, func() { c.expireCall(call) })
	c.queue = append(c.queue, call)
	c.wake()
}

// ChangeAddress moves the client to another address. Queued calls go to the new address; the
// old connection may deliver its outstanding responses for drainTimeout.
func (c *Client) ChangeAddress(address string) {
	if address == c.address {
		return
	}
	c.address = address
	if previous := c.active; previous != nil {
		c.active = nil
		previous.drain()
	}
	if len(c.queue) > 0 {
		c.wake()
	}
}

// Close closes the active connection and fails all its calls, queued ones included. A
// draining connection ends by its own deadline.
func (c *Client) Close() { c.failAll() }

// pending returns the number of calls that are queued, or in flight on the active connection.
func (c *Client) pending() int {
	if c.active == nil {
		return len(c.queue)
	}
	return len(c.queue) + len(c.active.inFlight)
}

// wake tells the active connection to write the queue, and dials a connection if there is none.
func (c *Client) wake() {
	if c.active == nil {
		c.active = c.connect()
	}
	c.active.wake()
}

// complete reports the outcome of a call, unless one has been reported already.
func (c *Client) complete(call *pendingCall, outcome policy.Outcome, total float64) {
	if call.completed {
		return
	}
	call.completed = true
	call.timer.Stop()
	c.options.OnReply(policy.CounterReplied{Key: call.key, Outcome: outcome, Total: total})
}

// expireCall completes a call whose timeout has passed. A queued call is removed from the
// queue. A written call stays in flight, so that its response, if it still comes, is matched
// to it and ignored.
func (c *Client) expireCall(call *pendingCall) {
	if c.dequeue(call) {
		c.complete(call, policy.ConnectFailed, 0)
		return
	}
	c.complete(call, policy.TimedOut, 0)
	if c.active != nil && c.active.unresponsive() {
		c.failAll() // the counter's machine is gone and has not closed the connection
	}
}

// dequeue removes a call from the queue and reports whether it was queued.
func (c *Client) dequeue(call *pendingCall) bool {
	for i, queued := range c.queue {
		if queued == call {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

// failAll closes the active connection and fails all calls. Calls in flight may have been
// added to the counter, so they end as timed out; queued calls were not.
func (c *Client) failAll() {
	previous, queue := c.active, c.queue
	c.active = nil
	c.queue = nil
	if previous != nil {
		previous.close()
	}
	for _, call := range queue {
		c.complete(call, policy.ConnectFailed, 0)
	}
}

// dropConnection closes a failed connection, if it is still open. Queued calls get a new
// connection, unless the failed one was never established.
func (c *Client) dropConnection(failed *connection) {
	switch {
	case failed.closed:
	case failed != c.active:
		failed.close()
	case failed.conn != nil && len(c.queue) > 0:
		c.active = nil
		failed.close()
		c.wake()
	default:
		c.failAll()
	}
}
