package frontend

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// backlogDrainTimeout limits how long the connections that wait in the kernel's backlog are
// accepted once the listener's deadline has passed.
const backlogDrainTimeout = 10 * time.Millisecond

// DeadlineListener is a listener whose Accept fails with [os.ErrDeadlineExceeded] once a deadline
// has passed, such as a [net.TCPListener].
type DeadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// Listener accepts connections as [Conn]. Once its deadline has passed, Accept returns
// [net.ErrClosed], which ends the Serve method of net/http. A timeout error would not:
// net/http takes it for a temporary error and retries forever.
type Listener struct {
	DeadlineListener
	tracker         *Tracker
	drainingBacklog bool // the deadline has passed, and only the backlog is still accepted
}

// NewListener returns a listener on ln whose connections are recorded by tracker.
func NewListener(ln DeadlineListener, tracker *Tracker) *Listener {
	return &Listener{DeadlineListener: ln, tracker: tracker}
}

// Accept implements [net.Listener]. Only one goroutine may call it.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.DeadlineListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && !l.drainingBacklog {
		// It fails without checking the backlog. Closing the listener now would reset
		// the connections in the backlog and lose the requests already sent on them.
		l.drainingBacklog = true
		if err := l.SetDeadline(time.Now().Add(backlogDrainTimeout)); err != nil {
			return nil, fmt.Errorf("setting the listener's deadline: %w", err)
		}
		conn, err = l.DeadlineListener.Accept()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	return newConn(conn, l.tracker), nil
}
