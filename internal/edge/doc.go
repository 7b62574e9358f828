// Package edge implements the edge node: it receives clients' requests, forwards the admitted
// ones to endpoints, and does the input and output for the policy, which decides on admission,
// endpoints and retries.
//
// A [Node] reports requests, responses, timers and updates from discovery as events to
// [policy.Gateway] and executes the actions that the gateway returns. One lock, Node.mu, guards
// all state that events and actions touch: the policy itself, the open requests with their
// attempts, the connection pool, and the state of the counter client and the discovery client,
// which share the lock. Events are dispatched while it is held, and no code that holds it
// blocks. The clients' connections have locks of their own, see [frontend.Tracker].
//
// Code that does not need a Node is in packages that import neither this one nor each other:
// [frontend] (listener, clients' connections, parsing), [upstream] (connections to endpoints),
// [counterclient] and [discovery].
//
// The files of this package: node.go contains the node and its event loop, handler.go the HTTP
// handler, request.go the lifecycle of a request, ranrequests.go the IDs of requests that must not
// run again, attempt.go and healthcheck.go the attempts and health checks, answermemory.go the
// memory for their answers, dial.go and upstreamconn.go their connections to endpoints,
// endpoints.go the list of endpoints, discovery.go and counter.go the setup of the discovery client
// and the counter client, clock.go the policy's time, eventlog.go the report on requests that did
// not take their usual course, limits.go the limits on descriptors and memory, and shutdown.go
// listening and the graceful shutdown.
package edge
