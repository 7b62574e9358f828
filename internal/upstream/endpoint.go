package upstream

import (
	"iter"
	"maps"
	"time"

	"swiftpitch/internal/policy"
)

// Endpoint is a server that discovery lists, with the idle connections to it. The lock
// that guards its [Pool] guards it as well.
type Endpoint struct {
	id            string
	addr          string
	idle          []*Conn   // most recently used last
	startedAtMS   int64     // Unix time of its process's last start in ms, as discovery reports it
	drainingSince time.Time // when discovery first reported it draining or removed; zero: serving
}

// Addr returns the host and port at which discovery lists the endpoint.
func (e *Endpoint) Addr() string { return e.addr }

// IsServing reports whether the endpoint takes new requests by discovery's last word.
func (e *Endpoint) IsServing() bool { return e.drainingSince.IsZero() }

// IdleConns returns the idle connections to the endpoint, most recently used last. The
// slice belongs to the pool and is valid only while the lock is held.
func (e *Endpoint) IdleConns() []*Conn { return e.idle }

// EndpointUpdate is discovery's report on one endpoint.
type EndpointUpdate struct {
	ID          string
	Addr        string // host and port
	StartedAtMS int64  // Unix time of its process's last start in ms; 0: not reported
	State       policy.EndpointState
}

// Endpoint returns the endpoint of an id, or nil if discovery lists none.
func (p *Pool) Endpoint(id string) *Endpoint { return p.endpoints[id] }

// Endpoints iterates over all endpoints by id. The loop may remove endpoints.
func (p *Pool) Endpoints() iter.Seq2[string, *Endpoint] { return maps.All(p.endpoints) }

// ServingEndpoints returns the number of endpoints that take new requests.
func (p *Pool) ServingEndpoints() int { return p.serving }

// AcceptsAttempts reports whether an attempt may start at an endpoint: it serves, or
// its drain grace is not over yet. It holds for endpoints that were removed, too.
func (p *Pool) AcceptsAttempts(endpoint *Endpoint, now time.Time) bool {
	return endpoint.IsServing() || now.Sub(endpoint.drainingSince) < p.drainGrace
}

// UpdateEndpoint applies discovery's report on one endpoint. Idle connections are closed
// where the endpoint drains, has moved or was restarted.
func (p *Pool) UpdateEndpoint(update EndpointUpdate, now time.Time) {
	if update.State == policy.Removed {
		p.RemoveEndpoint(update.ID, now)
		return
	}
	endpoint := p.endpoints[update.ID]
	if endpoint == nil {
		endpoint = &Endpoint{id: update.ID}
		p.endpoints[update.ID] = endpoint
		p.serving++
	}
	if endpoint.addr != update.Addr || endpoint.startedAtMS != update.StartedAtMS {
		p.evictIdle(endpoint) // they lead to a process that no longer exists
		endpoint.addr = update.Addr
		endpoint.startedAtMS = update.StartedAtMS
	}
	if update.State == policy.Serving {
		p.resume(endpoint)
		return
	}
	p.drain(endpoint, now)
	p.evictIdle(endpoint)
}

// RemoveEndpoint forgets an endpoint and closes its idle connections. Who still holds
// the endpoint sees it draining from now on, or from when its drain began.
func (p *Pool) RemoveEndpoint(id string, now time.Time) {
	endpoint := p.endpoints[id]
	if endpoint == nil {
		return
	}
	p.drain(endpoint, now)
	p.evictIdle(endpoint)
	delete(p.endpoints, id)
}

// drain begins an endpoint's drain grace. A drain that is reported again does not begin
// it anew.
func (p *Pool) drain(endpoint *Endpoint, now time.Time) {
	if endpoint.IsServing() {
		endpoint.drainingSince = now
		p.serving--
	}
}

// resume ends an endpoint's drain.
func (p *Pool) resume(endpoint *Endpoint) {
	if !endpoint.IsServing() {
		endpoint.drainingSince = time.Time{}
		p.serving++
	}
}

// evictIdle closes the idle connections to an endpoint.
func (p *Pool) evictIdle(endpoint *Endpoint) {
	for _, conn := range endpoint.idle {
		p.Evict(conn)
	}
	endpoint.idle = nil
}
