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
// Files are split by concern: event.go, action.go and settings.go are the interface;
// gateway.go dispatches; admission.go, quota.go, sharedbucket.go, hardlimit.go,
// countercalls.go and incarnation.go admit requests within a tenant's fleet-wide
// quota; endpoint.go, balancer.go, latency.go, outlier.go, slowstart.go and throttle.go
// choose endpoints and guard them; request.go, attempt.go, retry.go, hedge.go and
// answer.go follow a request from its first attempt to its final answer.
package policy
