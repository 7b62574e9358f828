package edge

import (
	"slices"
	"time"

	"swiftpitch/internal/discovery"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/upstream"
)

// endpointStateByLifecycle translates the lifecycles of discovery.
var endpointStateByLifecycle = map[string]policy.EndpointState{
	discovery.Serving:  policy.Serving,
	discovery.Draining: policy.Draining,
	discovery.Deleted:  policy.Removed,
}

// listedEndpoints is what one list of discovery names.
type listedEndpoints struct {
	ids              map[string]bool
	servingAddresses map[string]bool
}

// applyList brings the connection pool up to date with a list of discovery and notifies the
// policy.
func (n *Node) applyList(list discovery.List, scope policy.UpdateScope) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	listed := listedEndpoints{ids: map[string]bool{}, servingAddresses: map[string]bool{}}
	endpoints := make([]policy.Endpoint, 0, len(list.Instances))
	for _, instance := range list.Instances {
		state, ok := endpointStateByLifecycle[instance.Lifecycle]
		if !ok || instance.ID == "" {
			n.log.Warn("discovery lists an endpoint without an ID or in an unknown state",
				"id", instance.ID, "lifecycle", instance.Lifecycle)
			continue
		}
		listed.ids[instance.ID] = true
		if state == policy.Serving {
			listed.servingAddresses[instance.HostPort] = true
		}
		endpoints = append(endpoints, n.policyEndpoint(instance, state))
		n.pool.UpdateEndpoint(upstream.EndpointUpdate{ID: instance.ID, Addr: instance.HostPort,
			StartedAtMS: instance.StartedAtMS, State: state}, now)
	}
	endpoints = append(endpoints, n.removeUnlisted(listed, scope, now)...)
	n.dispatch(policy.EndpointsUpdated{Scope: scope, Endpoints: endpoints})
}

// policyEndpoint translates an instance of discovery for the policy.
func (n *Node) policyEndpoint(instance discovery.Instance, state policy.EndpointState) policy.Endpoint {
	return policy.Endpoint{
		ID:        instance.ID,
		Zone:      slices.Index(n.cfg.Settings.Zones, instance.Zone),
		Cell:      instance.Cell,
		Weight:    instance.Weight,
		StartedAt: policy.Time(instance.StartedAtMS) * policy.Time(time.Millisecond),
		State:     state,
	}
}

// removeUnlisted removes from the pool the endpoints that a list shows to be gone without
// naming them, and returns those of which the policy does not learn by the scope of the
// update. The lock is held.
func (n *Node) removeUnlisted(listed listedEndpoints, scope policy.UpdateScope, now time.Time) []policy.Endpoint {
	var removed []policy.Endpoint
	for id, endpoint := range n.pool.Endpoints() {
		switch {
		case listed.ids[id]:
		case scope == policy.FullUpdate:
			n.pool.RemoveEndpoint(id, now)
		case listed.servingAddresses[endpoint.Addr()]:
			// Another process has its address: a request forwarded there would reach that one.
			n.pool.RemoveEndpoint(id, now)
			removed = append(removed, policy.Endpoint{ID: id, State: policy.Removed})
		}
	}
	return removed
}
