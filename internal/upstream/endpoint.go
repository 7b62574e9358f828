package upstream

import (
	"iter"
	"maps"
	"time"

	"swiftpitch/internal/policy"
)

// Endpoint is the state of one endpoint, including the idle connections to it. The lock
// that guards its [Pool] guards it as well.
type Endpoint struct {
	id            string
	process       Process
	startedAt     policy.Time // when its process started
	idle          []*Conn     // most recently used last
	drainingSince time.Time   // when discovery first reported it draining or removed; zero: serving
}

// Process identifies the process that runs an endpoint, as discovery reports it. A connection
// leads to the process that was reported when its dial began.
type Process struct {
	Addr        string // host and port
	StartedAtMS int64  // Unix time in ms of its start; 0: not reported
}

// Process returns the process that runs the endpoint.
func (e *Endpoint) Process() Process { return e.process }

// Addr returns the host and port at which discovery lists the endpoint.
func (e *Endpoint) Addr() string { return e.process.Addr }

// StartedAt returns when the endpoint's process started, in the policy's time.
func (e *Endpoint) StartedAt() policy.Time { return e.startedAt }

// IsServing reports whether the endpoint takes new requests according to discovery's
// latest report.
func (e *Endpoint) IsServing() bool { return e.drainingSince.IsZero() }

// IdleConns returns the idle connections to the endpoint, most recently used last. The
// slice belongs to the pool and is valid only while the lock is held.
func (e *Endpoint) IdleConns() []*Conn { return e.idle }

// EndpointUpdate is discovery's report on one endpoint.
type EndpointUpdate struct {
	ID          string
	Addr        string      // host and port
	StartedAtMS int64       // Unix time in ms of its process's last start; 0: not reported
	StartedAt   policy.Time // the same start in the policy's time
	State       policy.EndpointState
}

// Endpoint returns the endpoint with an id, or nil if discovery does not list it.
func (p *Pool) Endpoint(id string) *Endpoint { return p.endpoints[id] }

// Endpoints iterates over the ids and endpoints that discovery lists. Endpoints may be
// removed during the iteration.
func (p *Pool) Endpoints() iter.Seq2[string, *Endpoint] { return maps.All(p.endpoints) }

// ServingEndpoints returns the number of endpoints that take new requests.
func (p *Pool) ServingEndpoints() int { return p.serving }

// AcceptsAttempts reports whether an attempt may start at an endpoint: the endpoint is
// serving, or its drain grace is not over. The drain grace also applies to endpoints that
// were removed.
func (p *Pool) AcceptsAttempts(endpoint *Endpoint, now time.Time) bool {
	return endpoint.IsServing() || now.Sub(endpoint.drainingSince) < p.drainGrace
}

// UpdateEndpoint applies discovery's report on one endpoint. It closes the endpoint's idle
// connections if the endpoint is draining, has a new address or was restarted.
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
	endpoint.startedAt = update.StartedAt
	p.setProcess(endpoint, Process{Addr: update.Addr, StartedAtMS: update.StartedAtMS})
	if update.State == policy.Serving || p.byAddr[update.Addr] == nil {
		p.byAddr[update.Addr] = endpoint
	}
	if update.State == policy.Serving {
		p.resume(endpoint)
		return
	}
	p.drain(endpoint, now)
	p.evictIdle(endpoint)
}

// setProcess records which process runs an endpoint.
func (p *Pool) setProcess(endpoint *Endpoint, process Process) {
	if endpoint.process == process {
		return
	}
	p.evictIdle(endpoint) // they lead to a process that no longer exists
	p.releaseAddr(endpoint)
	endpoint.process = process
}

// releaseAddr records that no process of an endpoint listens at its address any more.
func (p *Pool) releaseAddr(endpoint *Endpoint) {
	if p.byAddr[endpoint.Addr()] == endpoint {
		delete(p.byAddr, endpoint.Addr())
	}
}

// LeadsTo reports whether a connection leads to the process that runs an endpoint, as far as
// discovery has reported it: the process has not been replaced since the dial began, neither by
// another one of the endpoint nor by another endpoint at the same address.
func (p *Pool) LeadsTo(conn *Conn, endpoint *Endpoint) bool {
	if conn.process != endpoint.process {
		return false
	}
	owner := p.byAddr[endpoint.Addr()]
	return owner == nil || owner == endpoint
}

// RemoveEndpoint removes an endpoint and closes its idle connections. Callers that still
// hold the endpoint see it as draining, from now or from the earlier start of its drain.
func (p *Pool) RemoveEndpoint(id string, now time.Time) {
	endpoint := p.endpoints[id]
	if endpoint == nil {
		return
	}
	p.drain(endpoint, now)
	p.evictIdle(endpoint)
	p.releaseAddr(endpoint)
	delete(p.endpoints, id)
}

// drain starts an endpoint's drain grace. A repeated report does not restart it.
func (p *Pool) drain(endpoint *Endpoint, now time.Time) {
	if endpoint.IsServing() {
		endpoint.drainingSince = now
		p.serving--
	}
}

// resume marks a draining endpoint as serving again.
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
