// Package discovery follows the list of endpoints that the discovery service keeps: by a
// watch at an agent on this machine to which changes are pushed, or by polling one service
// that is shared by the whole fleet ([config.DiscoveryPolled]). A call is a long poll in
// both cases.
//
// [Client.Run] makes one call after another in one goroutine. When to call, for what and
// with which timeout is decided by the schedule, which knows neither sockets nor a clock.
package discovery

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"swiftpitch/internal/policy"
)

// Options is what a [Client] takes from its owner.
type Options struct {
	Lock   sync.Locker // guards the address of a client
	Timing Timing
	Seed   uint64 // of the jitter; nodes of one fleet have different ones
	// CachedList is the list as it was known before the start; the client asks for what changed
	// after it. If it has no instances, the client asks for the full list.
	CachedList List
	// OnList takes each list that brings news, and whether it is full. It is called from the
	// goroutine of Run, without Lock.
	OnList func(List, policy.UpdateScope)
	Log    *slog.Logger

	// Transport carries the calls; nil: one of the client's own.
	Transport http.RoundTripper
	// Pause waits between calls for a duration or until the context ends; nil: by the
	// clock.
	Pause func(context.Context, time.Duration)
}

// Client follows the list of endpoints at one address of the discovery service at a time.
type Client struct {
	// Options must not change once Run has begun.
	Options Options

	// What follows is guarded by Options.Lock, the owner's lock.

	address        string
	addressContext context.Context // ends when the address changes; nil: Run has not begun
	cancelAddress  context.CancelFunc
}

// New returns a client of the discovery service at address (host:port). It makes no call
// before [Client.Run].
func New(address string, options Options) *Client {
	if options.Transport == nil {
		options.Transport = &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	}
	if options.Pause == nil {
		options.Pause = pause
	}
	return &Client{Options: options, address: address}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Run keeps the list up to date until ctx ends.
func (c *Client) Run(ctx context.Context) {
	client := &http.Client{Transport: c.Options.Transport}
	defer client.CloseIdleConnections()
	schedule := newSchedule(c.Options.Timing, c.Options.Seed, c.Options.CachedList)
	for ctx.Err() == nil {
		callCtx, address := c.target(ctx)
		next, delay := schedule.next(address)
		if delay > 0 {
			c.Options.Pause(callCtx, delay)
			continue
		}
		startedAt := time.Now()
		list, err := fetch(callCtx, client, address, next)
		if err != nil {
			c.Options.Log.Debug("call to discovery failed", "err", err)
			client.CloseIdleConnections() // the next call is made on another connection
			c.Options.Pause(callCtx, schedule.failed(time.Since(startedAt)))
			continue
		}
		c.notify(list, next.fullList)
		schedule.succeeded(list.Generation)
	}
}

// notify passes a list on, unless it is an incremental update without changes.
func (c *Client) notify(list List, fullList bool) {
	switch {
	case fullList || list.Reset:
		c.Options.OnList(list, policy.FullUpdate)
	case len(list.Instances) > 0:
		c.Options.OnList(list, policy.IncrementalUpdate)
	}
}

// target returns the address to call and a context that ends when the address changes or
// ctx ends.
func (c *Client) target(ctx context.Context) (context.Context, string) {
	c.Options.Lock.Lock()
	defer c.Options.Lock.Unlock()
	if c.addressContext == nil || c.addressContext.Err() != nil {
		c.addressContext, c.cancelAddress = context.WithCancel(ctx)
	}
	return c.addressContext, c.address
}

// ChangeAddress moves the client to another address of the discovery service: the call or
// pause in progress ends, and the next call goes there and asks for the full list. The
// caller holds the lock.
func (c *Client) ChangeAddress(address string) {
	if address == c.address {
		return
	}
	c.address = address
	if c.cancelAddress != nil {
		c.cancelAddress()
	}
}
