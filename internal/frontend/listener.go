package frontend

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// backlogDrainTimeout is the time for accepting the connections that came before the
// listener closes.
const backlogDrainTimeout = 10 * time.Millisecond

// Listener accepts connections as [Conn] and ends the HTTP library's Serve once its deadline
// has passed. The library takes a time-out of Accept for a temporary error and would retry
// for ever.
type Listener struct {
	*net.TCPListener
	tracker         *Tracker
	drainingBacklog bool // the deadline has passed: only what has come by then is accepted
}

// NewListener returns a listener whose connections report to a tracker.
func NewListener(ln *net.TCPListener, tracker *Tracker) *Listener {
	return &Listener{TCPListener: ln, tracker: tracker}
}

// Accept implements [net.Listener]. One goroutine calls it.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if errors.Is(err, os.ErrDeadlineExceeded) && !l.drainingBacklog {
		// The error comes without a look at the connections that wait, and closing the
		// listener would reset them and the requests written to them.
		l.drainingBacklog = true
		if err := l.SetDeadline(time.Now().Add(backlogDrainTimeout)); err != nil {
			return nil, fmt.Errorf("closing the listener: %w", err)
		}
		conn, err = l.AcceptTCP()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	return newConn(conn, l.tracker), nil
}
