package upstream

import (
	"slices"
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/policy"
)

// ReuseDelay is how long a connection stays idle before it carries the next request. Data
// that the endpoint sends after its response is detected if it arrives within this delay.
// Duplicate responses arrive some milliseconds late, and the network adds some more; one
// that arrived after the delay would be taken for the response to the next request.
const ReuseDelay = 25 * time.Millisecond

// Defaults, used if the caller or the settings give no value.
const (
	defaultMaxConns    = 512 // used if the limit on file descriptors is unknown
	defaultDialTimeout = 250 * time.Millisecond
	defaultIdleTimeout = 5 * time.Second
)

const (
	// idleTimeoutDivisor divides the endpoints' idle timeout to give the pool's. The pool
	// closes an idle connection well before the endpoint does, because a request could be
	// written just as the endpoint closes the connection.
	idleTimeoutDivisor = 2
	// sweepsPerIdleTimeout is the number of sweeps per idle timeout of the pool. An expired
	// connection stays open until the next sweep.
	sweepsPerIdleTimeout = 8
)

// Pool holds the endpoints and the connections to them. It has no lock: the edge node's
// lock guards it and is held in every method.
type Pool struct {
	endpoints   map[string]*Endpoint // by id
	byAddr      map[string]*Endpoint // the endpoint to which an address belongs; a serving one if there is one
	serving     int                  // endpoints that take new requests
	open        int                  // open connections, including those being dialed
	maxConns    int
	dialTimeout time.Duration
	idleTimeout time.Duration
	drainGrace  time.Duration
	idleAges    idleAgeStats
}

// NewPool returns a pool without endpoints. At most maxConns connections are open at a
// time; 0 selects a default.
func NewPool(settings *config.Settings, maxConns int) *Pool {
	p := &Pool{
		endpoints:   map[string]*Endpoint{},
		byAddr:      map[string]*Endpoint{},
		maxConns:    maxConns,
		dialTimeout: settings.Limits.DialTimeout,
		idleTimeout: settings.Limits.EndpointIdleTimeout / idleTimeoutDivisor,
		drainGrace:  settings.EndpointRules.DrainGrace,
	}
	if p.maxConns <= 0 {
		p.maxConns = defaultMaxConns
	}
	if p.dialTimeout <= 0 {
		p.dialTimeout = defaultDialTimeout
	}
	if p.idleTimeout <= 0 {
		p.idleTimeout = defaultIdleTimeout
	}
	return p
}

// DialTimeout returns how long the dial of a connection may take.
func (p *Pool) DialTimeout() time.Duration { return p.dialTimeout }

// SweepInterval returns the interval at which [Pool.EvictExpired] is to be called.
func (p *Pool) SweepInterval() time.Duration { return p.idleTimeout / sweepsPerIdleTimeout }

// OpenConns returns the number of open connections, including those being dialed.
func (p *Pool) OpenConns() int { return p.open }

// MaxConns returns the limit on the number of open connections.
func (p *Pool) MaxConns() int { return p.maxConns }

// Acquire returns the most recently used connection to an endpoint that has been idle for
// at least [ReuseDelay] and can carry a request, or nil if there is none. It closes the
// expired, stale and broken connections that it finds.
func (p *Pool) Acquire(endpoint *Endpoint, now time.Time) *Conn {
	for i := len(endpoint.idle) - 1; i >= 0; i-- {
		conn := endpoint.idle[i]
		age := now.Sub(conn.idleSince)
		if age < ReuseDelay {
			continue
		}
		endpoint.idle = slices.Delete(endpoint.idle, i, i+1)
		if age < p.idleTimeout && !p.idleAges.isStale(age) && conn.IsReusable() {
			return conn
		}
		p.Evict(conn)
	}
	return nil
}

// Reserve reserves a slot for one more connection and reports whether it succeeded. At the
// limit it closes the connection that has been idle longest to free its slot.
func (p *Pool) Reserve() bool {
	if p.open >= p.maxConns && !p.evictLongestIdle() {
		return false
	}
	p.open++
	return true
}

// CancelReservation frees a reserved slot after the dial failed.
func (p *Pool) CancelReservation() { p.open-- }

// evictLongestIdle closes the connection that has been idle longest and reports whether
// there was one.
func (p *Pool) evictLongestIdle() bool {
	var longestIdle *Endpoint
	for _, endpoint := range p.endpoints {
		if len(endpoint.idle) == 0 {
			continue
		}
		if longestIdle == nil || endpoint.idle[0].idleSince.Before(longestIdle.idle[0].idleSince) {
			longestIdle = endpoint
		}
	}
	if longestIdle == nil {
		return false
	}
	p.Evict(longestIdle.idle[0])
	longestIdle.idle = longestIdle.idle[1:]
	return true
}

// Release returns a connection without a request in flight to the pool. The connection is
// closed instead if its endpoint is draining, was removed or is run by another process.
func (p *Pool) Release(conn *Conn) {
	endpoint := conn.endpoint
	listed := p.endpoints[endpoint.id] == endpoint
	if !listed || !p.LeadsTo(conn, endpoint) || !endpoint.IsServing() {
		p.Evict(conn)
		return
	}
	conn.idleSince = time.Now()
	endpoint.idle = append(endpoint.idle, conn)
}

// Evict closes a connection and frees its slot. The caller removes an idle connection from
// its endpoint's list.
func (p *Pool) Evict(conn *Conn) {
	conn.Close()
	p.open--
}

// RecordReuse records the outcome of an exchange that began at writtenAt on a reused
// connection. It is called right after the exchange, before the connection is released. It
// does nothing if the connection had not been idle before.
func (p *Pool) RecordReuse(conn *Conn, writtenAt time.Time, outcome policy.Outcome) {
	if conn.idleSince.IsZero() {
		return
	}
	broken := outcome == policy.ConnectionLost && time.Since(writtenAt) < earlyBreakWindow
	p.idleAges.record(writtenAt.Sub(conn.idleSince), broken)
}

// EvictExpired closes the connections that have been idle for at least the idle timeout.
func (p *Pool) EvictExpired(now time.Time) {
	for _, endpoint := range p.endpoints {
		expired := 0
		for expired < len(endpoint.idle) && now.Sub(endpoint.idle[expired].idleSince) >= p.idleTimeout {
			p.Evict(endpoint.idle[expired])
			expired++
		}
		if expired > 0 {
			endpoint.idle = append([]*Conn(nil), endpoint.idle[expired:]...)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	for _, endpoint := range p.endpoints {
		p.evictIdle(endpoint)
	}
}
