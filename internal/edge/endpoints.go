package edge

import (
	"slices"
	"time"

	"swiftpitch/internal/discovery"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/upstream"
)

// endpointStates translates the lifecycles of discovery.
var endpointStates = map[string]policy.EndpointState{
	discovery.Serving:  policy.Serving,
	discovery.Draining: policy.Draining,
	discovery.Deleted:  policy.Removed,
}

// applyList takes news of the app servers and tells the module.
func (n *Node) applyList(list discovery.List, scope policy.UpdateScope) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	named, held := map[string]bool{}, map[string]string{}
	entries := make([]policy.Endpoint, 0, len(list.Instances))
	for _, e := range list.Instances {
		state, ok := endpointStates[e.Lifecycle]
		if !ok || e.ID == "" {
			n.log.Warn("discovery lists an app server in no known state", "id", e.ID, "lifecycle", e.Lifecycle)
			continue
		}
		named[e.ID] = true
		if state == policy.Serving {
			held[e.HostPort] = e.ID
		}
		entries = append(entries, policy.Endpoint{ID: e.ID, Zone: slices.Index(n.cfg.Settings.Zones, e.Zone),
			Cell: e.Cell, Weight: e.Weight, StartedAt: policy.Time(e.StartedAt) * policy.Time(time.Millisecond), State: state})
		n.pool.UpdateEndpoint(upstream.EndpointUpdate{ID: e.ID, Addr: e.HostPort, StartedAtMS: e.StartedAt, State: state}, now)
	}
	for id, endpoint := range n.pool.Endpoints() {
		switch by := held[endpoint.Addr()]; {
		case named[id]:
		case scope == policy.FullUpdate:
			n.pool.RemoveEndpoint(id, now)
		case by != "": // another process has its address: what is sent there would reach that one
			n.pool.RemoveEndpoint(id, now)
			entries = append(entries, policy.Endpoint{ID: id, State: policy.Removed})
		}
	}
	n.dispatch(policy.EndpointsUpdated{Scope: scope, Endpoints: entries})
}
