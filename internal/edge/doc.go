// Package edge is the edge node: it receives clients' requests, forwards the admitted ones
// to endpoints, and does the input and output for the policy, which decides.
//
// A [Node] turns what happens on the sockets into the events of [policy.Gateway] and
// executes the actions that come back. One lock, Node.mu, guards all that the policy's
// decisions touch: the policy itself, the open requests with their attempts, the connection
// pool, and the state of the counter client and the discovery client, which share it. An event
// is dispatched under it, and nothing that blocks is done while it is held. The clients'
// connections have a lock of their own, see [frontend.Tracker].
//
// The parts that do not need a Node are packages of their own, which do not know this one or
// each other: [frontend] (listener, clients' connections, parsing), [upstream] (connections
// to endpoints), [counterclient] and [discovery].
//
// The files here: node.go has the node and its event loop, handler.go the HTTP handler,
// request.go the life of a request, attempt.go and healthcheck.go what is sent to endpoints
// on the connections of upstreamconn.go, endpoints.go the list of endpoints, discovery.go and
// counter.go the wiring of those clients, limits.go the limits by descriptors and memory, and
// shutdown.go the graceful shutdown.
package edge
