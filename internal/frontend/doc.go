// Package frontend handles the connections between the edge node and its clients: it
// accepts connections, limits their number, and parses requests.
//
// A [Server] accepts connections and serves HTTP on them with net/http. A [Tracker] records
// every open connection, limits their number and the rate of requests on fast ones, and closes
// the idle ones when the node drains. A [Conn] also detects that its client disconnects while a
// request is in flight, finds the ends of requests in the data that net/http reads, and refuses
// heads with too many fields. A [Parser] validates a request and reads its body.
//
// The package does not decide which requests are admitted: the edge node's
// [net/http.Handler] does, and calls [Conn.AcceptRequest] once it has read a request. The
// edge node also runs the phases of a graceful shutdown, in this order:
// [Server.StartDraining], [Server.StopAccepting], [Server.StopReading],
// [Server.AllClosed], [Server.Close].
//
// The methods of Tracker, Parser and [MemoryBudget] may be called from any goroutine. Each
// Tracker and each read-ahead buffer has its own lock; a Tracker's lock is taken before a
// buffer's. Neither lock is held while the handler or other code of the caller runs.
package frontend
