package policy

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

const (
	maxWatchRetryDelay = time.Second // longest wait before a failed subscription is retried
	minWatchRetries    = 4           // retries that must fit into the subscription timeout
)

// endpoint is this gateway's state for one discovered endpoint.
type endpoint struct {
	Endpoint
	outlierState
	slowness       slowness
	listed         bool   // discovery lists it as serving
	inFlight       int    // attempts of this gateway in flight
	rendezvousHash uint64 // of its ID and the gateway's index; the lowest are preferred
}

// removable reports whether the endpoint is not listed and has no attempt in flight.
func (ep *endpoint) removable() bool { return !ep.listed && ep.inFlight == 0 }

// reset initializes the state of an endpoint that is new or has restarted. Outcomes from
// before a restart no longer count.
func (ep *endpoint) reset(now Time, entry Endpoint) {
	*ep = endpoint{
		Endpoint:       entry,
		slowness:       slowness{ratio: 1, updatedAt: now},
		inFlight:       ep.inFlight,
		rendezvousHash: ep.rendezvousHash,
	}
}

// endpointSet holds the endpoints that discovery lists, and those no longer listed that
// still have attempts in flight.
type endpointSet struct {
	gatewayIndex int
	list         []*endpoint // sorted by rendezvousHash, so that gateways prefer different endpoints
	byID         map[string]*endpoint
}

func newEndpointSet(gatewayIndex int) endpointSet {
	return endpointSet{gatewayIndex: gatewayIndex, byID: map[string]*endpoint{}}
}

// applyUpdate applies an update from discovery. From then on, draining and removed endpoints
// get no new attempts.
func (s *endpointSet) applyUpdate(now Time, update EndpointsUpdated) {
	if update.Scope != IncrementalUpdate && update.Scope != FailedUpdate {
		s.unlistAll()
	}
	for _, entry := range update.Endpoints {
		s.applyEntry(now, entry)
	}
	maps.DeleteFunc(s.byID, func(_ string, ep *endpoint) bool { return ep.removable() })
	s.list = slices.DeleteFunc(s.list, (*endpoint).removable)
	slices.SortStableFunc(s.list, func(a, b *endpoint) int { return cmp.Compare(a.rendezvousHash, b.rendezvousHash) })
}

// unlistAll marks all endpoints as not listed, before a complete list is applied.
func (s *endpointSet) unlistAll() {
	for _, ep := range s.list {
		ep.listed = false
	}
}

func (s *endpointSet) applyEntry(now Time, entry Endpoint) {
	ep := s.byID[entry.ID]
	if entry.State == Removed {
		if ep != nil { // keeps its zone and cell, which restrict retries of requests it may have run
			ep.listed = false
		}
		return
	}
	if ep == nil {
		ep = s.add(now, entry)
	} else if entry.StartedAt != ep.StartedAt {
		ep.reset(now, entry)
	}
	ep.Endpoint = entry
	ep.listed = entry.State == Serving
}

func (s *endpointSet) add(now Time, entry Endpoint) *endpoint {
	hash := fnv.New64a()
	hash.Write([]byte(entry.ID))
	ep := &endpoint{rendezvousHash: splitMix64(hash.Sum64() ^ splitMix64(uint64(s.gatewayIndex)))}
	ep.reset(now, entry)
	s.byID[entry.ID] = ep
	s.list = append(s.list, ep)
	return ep
}

// endpointsUpdated handles an update from discovery, and subscribes to further ones if that
// is required.
func (g *Gateway) endpointsUpdated(ev EndpointsUpdated) {
	if g.settings.MustSubscribe {
		g.subscribe(ev.Scope)
	}
	g.endpoints.applyUpdate(g.now, ev)
}

// subscribe subscribes to changes at discovery: at once at the start, and after a delay if
// discovery failed.
func (g *Gateway) subscribe(scope UpdateScope) {
	switch scope {
	case CachedUpdate:
		g.emit(WatchEndpoints{})
	case FailedUpdate:
		wait := min(g.settings.SubscriptionTimeout/minWatchRetries, maxWatchRetryDelay)
		g.startTimer(wait, func() { g.emit(WatchEndpoints{}) })
	}
}
