package edge

import (
	"slices"
	"time"

	"swiftpitch/internal/discovery"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/upstream"
)

// endpointStateByLifecycle maps the lifecycle values of discovery to the policy's states.
var endpointStateByLifecycle = map[string]policy.EndpointState{
	discovery.Serving:  policy.Serving,
	discovery.Draining: policy.Draining,
	discovery.Deleted:  policy.Removed,
}

// listedEndpoints holds the IDs and addresses in one list from discovery.
type listedEndpoints struct {
	ids              map[string]bool
	servingAddresses map[string]bool
}

// applyList updates the connection pool from a list of endpoints and notifies the policy. The
// discovery client calls it from its own goroutine, without holding n.mu.
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
		endpoint := n.policyEndpoint(instance, state)
		endpoints = append(endpoints, endpoint)
		n.pool.UpdateEndpoint(upstream.EndpointUpdate{ID: instance.ID, Addr: instance.HostPort,
			StartedAtMS: instance.StartedAtMS, StartedAt: endpoint.StartedAt, State: state}, now)
	}
	endpoints = append(endpoints, n.removeUnlisted(listed, scope, now)...)
	n.dispatch(policy.EndpointsUpdated{Scope: scope, Endpoints: endpoints})
}

// policyEndpoint converts an instance in discovery's list to an endpoint of the policy.
func (n *Node) policyEndpoint(instance discovery.Instance, state policy.EndpointState) policy.Endpoint {
	return policy.Endpoint{
		ID:        instance.ID,
		Zone:      slices.Index(n.cfg.Settings.Zones, instance.Zone),
		Cell:      instance.Cell,
		Weight:    instance.Weight,
		StartedAt: n.startTime(instance),
		State:     state,
	}
}

// startTime returns when an instance's process started, in the policy's time. It stays the same as
// long as discovery reports the same start, whatever the clocks do. The caller holds n.mu.
func (n *Node) startTime(instance discovery.Instance) policy.Time {
	known := n.pool.Endpoint(instance.ID)
	if known != nil && known.Process().StartedAtMS == instance.StartedAtMS {
		return known.StartedAt()
	}
	if step := n.clock.step(); step != 0 && instance.StartedAtMS > 0 {
		n.log.Warn("an endpoint started after the wall clock was stepped", "id", instance.ID, "step", step)
	}
	return n.clock.startTime(instance.StartedAtMS)
}

// removeUnlisted removes from the pool the endpoints that do not occur in a list and, by that
// list, no longer exist: all others if it is a full list, else those whose address now belongs
// to a serving endpoint of the list. It returns the latter, because the policy can't infer
// their removal from the scope of the update. The caller holds n.mu.
func (n *Node) removeUnlisted(listed listedEndpoints, scope policy.UpdateScope, now time.Time) []policy.Endpoint {
	var removed []policy.Endpoint
	for id, endpoint := range n.pool.Endpoints() {
		switch {
		case listed.ids[id]:
		case scope == policy.FullUpdate:
			n.pool.RemoveEndpoint(id, now)
		case listed.servingAddresses[endpoint.Addr()]:
			// A new process listens at its address and would get the requests meant for it.
			n.pool.RemoveEndpoint(id, now)
			removed = append(removed, policy.Endpoint{ID: id, State: policy.Removed})
		}
	}
	return removed
}
