package policy

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

const (
	maxWatchRetryDelay = time.Second // longest wait before a failed subscription is asked for again
	minWatchRetries    = 4           // times that it may be asked for within the subscription timeout
)

// endpoint is what this gateway knows of one discovered endpoint.
type endpoint struct {
	Endpoint
	outlierState
	slowness       slowness
	listed         bool   // discovery says that it takes requests
	inFlight       int    // attempts of this gateway
	rendezvousHash uint64 // rank among this gateway's endpoints: a hash of both
}

// removable reports whether the endpoint takes no new attempt and owes no answer.
func (ep *endpoint) removable() bool { return !ep.listed && ep.inFlight == 0 }

// reset takes in a new start of the endpoint: what was held against it is void.
func (ep *endpoint) reset(now Time, entry Endpoint) {
	*ep = endpoint{
		Endpoint:       entry,
		slowness:       slowness{ratio: 1, updatedAt: now},
		inFlight:       ep.inFlight,
		rendezvousHash: ep.rendezvousHash,
	}
}

// endpointSet holds the endpoints that discovery lists, and those that were listed and
// still owe an answer.
type endpointSet struct {
	gatewayIndex int
	list         []*endpoint // by endpoint.order, so that gateways prefer different ones
	byID         map[string]*endpoint
}

func newEndpointSet(gatewayIndex int) endpointSet {
	return endpointSet{gatewayIndex: gatewayIndex, byID: map[string]*endpoint{}}
}

// applyUpdate follows discovery. Draining and removed endpoints get nothing new at once.
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

// unlistAll marks all endpoints as gone, until a whole list names them again.
func (s *endpointSet) unlistAll() {
	for _, ep := range s.list {
		ep.listed = false
	}
}

func (s *endpointSet) applyEntry(now Time, entry Endpoint) {
	ep := s.byID[entry.ID]
	if entry.State == Removed {
		if ep != nil { // its place still binds the retries of what it may have run
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

// endpointsUpdated follows discovery, and subscribes to it where that is needed.
func (g *Gateway) endpointsUpdated(ev EndpointsUpdated) {
	if g.settings.MustSubscribe {
		g.subscribe(ev.Scope)
	}
	g.endpoints.applyUpdate(g.now, ev)
}

// subscribe asks discovery for changes at the start, and again after a failure.
func (g *Gateway) subscribe(scope UpdateScope) {
	switch scope {
	case CachedUpdate:
		g.emit(WatchEndpoints{})
	case FailedUpdate:
		wait := min(g.settings.SubscriptionTimeout/minWatchRetries, maxWatchRetryDelay)
		g.startTimer(wait, func() { g.emit(WatchEndpoints{}) })
	}
}
