// Package policy implements the decisions of one gateway as a deterministic state
// machine: which requests to admit under the tenants' quotas, which endpoint an attempt
// goes to, when to retry or hedge, and how to answer the client.
//
// The package does no I/O, starts no goroutine and reads no clock. The caller passes
// every event to [Gateway.Step], with the time at which it happened, and carries out
// the returned actions in order. A [Gateway] must not be used by more than one goroutine
// at a time. Times must never go backwards, and all random numbers come from
// [Settings.Seed]: the same settings and events always give the same actions.
//
// One run of a gateway's process is called an incarnation of the gateway. A [Gateway] lives
// for one incarnation and keeps no state for the next.
//
// The files by topic:
//
//   - The interface: event.go, action.go, settings.go, validate.go.
//   - The gateway itself: gateway.go composes the rest and dispatches events; timers.go
//     keeps its timers and stall.go detects that its process was suspended or got no CPU
//     time.
//   - Admission within a tenant's fleet-wide quota: admission.go, tenant.go, tenanttable.go, quota.go,
//     sparequota.go, sharedbucket.go, bucketreading.go, overquota.go, hardlimit.go,
//     countercalls.go, retryafter.go.
//   - Load balancing over endpoints: endpoint.go, balancer.go, latency.go, outlier.go,
//     slowstart.go, throttle.go.
//   - The life of a request from its first attempt to its final answer: request.go,
//     attempt.go, deadline.go, retry.go, hedge.go, answer.go.
package policy
