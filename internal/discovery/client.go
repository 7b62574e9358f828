// Package discovery keeps the list of endpoints up to date with the discovery service, either
// by a watch at an agent on this machine to which changes are pushed, or by polling one service
// that is shared by the whole fleet ([config.DiscoveryPolled]). Both use long polls.
//
// [Client.Run] makes one call after another. The schedule decides when to call, what to ask for and
// which answers are of use; it uses neither sockets nor a clock. The runner executes it: each call
// has a goroutine of its own, all else happens in the goroutine that called Run.
package discovery

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"swiftpitch/internal/policy"
)

// Options configures a [Client].
type Options struct {
	Lock   sync.Locker // guards the address of the client
	Timing Timing
	Seed   uint64 // of the jitter; must differ between the nodes of a fleet
	// CachedList is the list that was known before the start; the client asks for what changed
	// after it. If it has no instances, the client asks for the full list.
	CachedList List
	// OnList receives each full list and each incremental update with changes. It is called
	// from the goroutine of Run, without Lock held.
	OnList func(List, policy.UpdateScope)
	Log    *slog.Logger

	// Transport carries the calls; if nil, the client creates its own.
	Transport http.RoundTripper
	// Pause waits for a duration or until the context ends; if nil, the client uses a real
	// timer.
	Pause func(context.Context, time.Duration)
}

// Client keeps the list of endpoints up to date by calls to one address of the discovery
// service.
type Client struct {
	// Options must not change after Run has started.
	Options Options

	// The following fields are guarded by Options.Lock.

	address        string
	addressContext context.Context // ends when the address changes; nil before Run
	cancelAddress  context.CancelFunc
}

// New returns a client of the discovery service at address (host:port). The client makes no
// calls before [Client.Run].
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
func (c *Client) Run(ctx context.Context) { newRunner(ctx, c).run() }

// notify passes a list to OnList, unless it is an incremental update without changes.
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

// ChangeAddress moves the client to another address of the discovery service. The next call goes
// to the new address and asks for the full list; the call in progress may be answered until that
// one is. The caller must hold Options.Lock.
func (c *Client) ChangeAddress(address string) {
	if address == c.address {
		return
	}
	c.address = address
	if c.cancelAddress != nil {
		c.cancelAddress()
	}
}
