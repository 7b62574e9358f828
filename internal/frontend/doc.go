// Package frontend is the side of the edge node that faces its clients: the listener,
// the clients' connections with their limit, and the parsing of requests.
//
// A [Server] accepts connections and runs the HTTP library on them. A [Tracker] knows
// every open connection: it holds their number to a limit and closes the idle ones when
// the node drains. A [Conn] also finds out that its client has disconnected while a
// request of it is in flight. A [Parser] checks a request and reads it to its last byte.
//
// The package makes no decision on a request: the owner's [net/http.Handler] does, and
// calls [Conn.AcceptRequest] once a request has been read. The owner also runs the
// phases of a graceful shutdown, in this order: [Server.StartDraining],
// [Server.StopAccepting], [Server.StopReading], [Server.AllClosed], [Server.Close].
//
// A Tracker has a lock of its own, and so has each read-ahead buffer; a Tracker's lock is
// taken before a buffer's. Neither is held while code of the owner runs.
package frontend
