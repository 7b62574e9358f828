// Package counterclient adds to the fleet's shared counters over one pipelined HTTP/1.1
// connection to the counter service.
//
// The package holds no lock of its own. Its owner's lock, [Options.Lock], guards all state
// of a client: the owner holds it when it calls a method of [Client], and the client holds
// it when it calls [Options.OnReply]. Nothing that blocks is done while it is held.
package counterclient

import (
	"context"
	"sync"
	"time"

	"swiftpitch/internal/policy"
)

// maxPendingCalls bounds the calls that are queued or await a response; one more fails at
// once.
const maxPendingCalls = 512

// Options is what a [Client] takes from its owner. All fields are required.
type Options struct {
	Context     context.Context // its end closes the connection
	Lock        sync.Locker     // guards the client
	DialTimeout time.Duration   // for a connection to come up

	// Go runs a goroutine for which the owner waits when it shuts down.
	Go func(func())
	// AfterFunc runs a function under Lock after a delay, unless the owner has closed.
	AfterFunc func(time.Duration, func()) *time.Timer
	// OnReply takes the outcome of a call, exactly one for each. It runs under Lock and may
	// call [Client.Add].
	OnReply func(policy.CounterReplied)
}

// Client makes calls to the counter service over one pipelined connection, which it dials
// when there is something to write. Every method requires that the caller holds the owner's
// lock, which guards all fields that change.
type Client struct {
	lock    sync.Locker // the owner's
	options Options

	address string
	queue   []*pendingCall // to be written, oldest first
	active  *connection    // takes new calls; nil: none
}

// New returns a client of the counter service at address (host:port). It does not connect
// before the first call.
func New(address string, options Options) *Client {
	return &Client{lock: options.Lock, options: options, address: address}
}

// Add begins a call, whose outcome [Options.OnReply] receives: at the latest after timeout,
// or after unresponsiveTimeout if timeout is not positive.
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

// ChangeAddress moves the client to another address. Calls that are not yet written go
// there; the old connection still delivers the responses that it owes, for a while.
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

// Close closes the active connection and ends all calls, queued ones included. A connection
// that drains ends by its own deadline.
func (c *Client) Close() { c.failAll() }

// pending is the number of calls that are queued or await a response on the active
// connection.
func (c *Client) pending() int {
	if c.active == nil {
		return len(c.queue)
	}
	return len(c.queue) + len(c.active.inFlight)
}

// wake makes sure that a connection is open, or being dialed, for the queue.
func (c *Client) wake() {
	if c.active == nil {
		c.active = c.connect()
	}
	c.active.wake()
}

// complete gives a call its one outcome.
func (c *Client) complete(call *pendingCall, outcome policy.Outcome, total float64) {
	if call.completed {
		return
	}
	call.completed = true
	call.timer.Stop()
	c.options.OnReply(policy.CounterReplied{Key: call.key, Outcome: outcome, Total: total})
}

// expireCall ends a call that has no response in time. One that was never written is
// removed from the queue; for another the connection still owes a response, which is
// dropped when it comes.
func (c *Client) expireCall(call *pendingCall) {
	if c.dequeue(call) {
		c.complete(call, policy.ConnectFailed, 0)
		return
	}
	c.complete(call, policy.TimedOut, 0)
	if c.active != nil && c.active.unresponsive() {
		c.failAll() // the counter's machine has vanished without closing the connection
	}
}

// dequeue removes a call that is not yet written and reports whether there was one.
func (c *Client) dequeue(call *pendingCall) bool {
	for i, queued := range c.queue {
		if queued == call {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

// failAll closes the active connection and ends all calls: those that were written may have
// been added, those in the queue were not.
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

// dropConnection closes a connection that has failed, unless that is done already. Calls
// that were not yet written get a new connection, unless this one never came up.
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
