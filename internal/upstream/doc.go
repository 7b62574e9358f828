// Package upstream manages the edge node's connections to the endpoints, the booking
// servers that discovery lists and that requests are forwarded to. It has the pool of
// keep-alive connections to the endpoints, the exchange of one HTTP request and response
// on a connection, and the parser of load reports.
//
// # Locking
//
// [Pool] and [Endpoint] have no lock of their own. The edge node's lock guards them,
// and all their methods are called with it held; none of them blocks.
// [Conn.Exchange] blocks and is called without that lock, by the one goroutine that
// owns the connection between [Pool.Acquire] (or [NewConn]) and [Pool.Release] or
// [Pool.Evict]. [Conn.Close] may be called from any goroutine to abort an exchange; the
// owner still evicts the connection.
//
// # Life of a connection
//
// The caller takes an idle connection with [Pool.Acquire]. If there is none it reserves
// a slot with [Pool.Reserve], dials, and wraps the result with [NewConn]; if the dial
// fails, it frees the slot with [Pool.CancelReservation]. After the exchange the
// connection goes back with [Pool.Release] if it can carry another request, or is
// closed with [Pool.Evict].
package upstream
