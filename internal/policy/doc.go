// Package policy is the pure state machine of one gateway of a metered service. It
// decides which requests to admit, which endpoint an attempt goes to, when to retry
// or hedge, and how to answer the client.
//
// The package does no I/O, starts no goroutine and reads no clock. The caller hands
// every event to [Gateway.Step], with the time at which it happened, and carries out
// the returned actions in their order. A [Gateway] belongs to one goroutine at a
// time. Times never go backwards, and all randomness comes from [Settings.Seed]:
// the same settings and events always give the same actions.
//
// Files are split by concern:
//
//   - The interface: event.go, action.go, settings.go, validate.go.
//   - The gateway itself: gateway.go composes the rest and dispatches events; timers.go
//     and stall.go keep its timers and notice that it stood still.
//   - Admission within a tenant's fleet-wide quota: admission.go, tenant.go, quota.go,
//     sparequota.go, sharedbucket.go, bucketreading.go, overquota.go, hardlimit.go,
//     countercalls.go, incarnation.go.
//   - Choice of endpoints: endpoint.go, balancer.go, latency.go, outlier.go,
//     slowstart.go, throttle.go.
//   - A request from its first attempt to its final answer: request.go, attempt.go,
//     retry.go, hedge.go, answer.go.
package policy
