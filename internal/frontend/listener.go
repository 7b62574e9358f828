package frontend

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"swiftpitch/internal/socket"
)

const (
	// backlogDrainTimeout limits how long the connections that wait in the kernel's backlog are
	// accepted once the listener's deadline has passed.
	backlogDrainTimeout = 10 * time.Millisecond
	// minAcceptRetryDelay and maxAcceptRetryDelay bound the pause after a failed accept. It
	// doubles with each failure in a row.
	minAcceptRetryDelay = time.Millisecond
	maxAcceptRetryDelay = 50 * time.Millisecond
)

// brokenListenerErrors are the errors of accept(2) with which no later call can succeed. All
// others concern one connection or a resource that may become free again.
var brokenListenerErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK}

// DeadlineListener is a listener whose Accept fails with [os.ErrDeadlineExceeded] once a deadline
// has passed, such as a [net.TCPListener].
type DeadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// Listener accepts connections as [Conn]. Once its deadline has passed, Accept returns
// [net.ErrClosed], which ends the Serve method of net/http. A timeout error would not:
// net/http takes it for a temporary error and retries forever. Accept retries after other
// errors, which net/http does for few of them only, unless the listener is broken.
type Listener struct {
	DeadlineListener
	tracker         *Tracker
	log             *slog.Logger
	drainingBacklog bool // the deadline has passed, and only the backlog is still accepted
	failures        int  // calls of accept that failed in a row
}

// NewListener returns a listener on ln whose connections are recorded by tracker. It logs when
// accept begins to fail and when it works again.
func NewListener(ln DeadlineListener, tracker *Tracker, log *slog.Logger) *Listener {
	return &Listener{DeadlineListener: ln, tracker: tracker, log: log}
}

// Accept implements [net.Listener]. Only one goroutine may call it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.acceptUntilDeadline()
		if err == nil {
			l.recordSuccess()
			return newConn(conn, l.tracker), nil
		}
		if socket.IsOneOf(err, brokenListenerErrors) {
			return nil, err
		}
		time.Sleep(l.recordFailure(err))
	}
}

// acceptUntilDeadline accepts one connection. Once the deadline has passed and the backlog is
// empty, it returns [net.ErrClosed].
func (l *Listener) acceptUntilDeadline() (net.Conn, error) {
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
	return conn, err
}

// recordFailure counts a failed accept and returns the pause before the next one.
func (l *Listener) recordFailure(err error) time.Duration {
	if l.failures == 0 {
		l.log.Warn("accept fails", "err", err)
	}
	delay := maxAcceptRetryDelay
	if doubled := minAcceptRetryDelay << min(l.failures, 10); doubled < delay {
		delay = doubled
	}
	l.failures++
	return delay
}

// recordSuccess ends a series of failures.
func (l *Listener) recordSuccess() {
	if l.failures > 0 {
		l.log.Info("accept works again", "failures", l.failures)
		l.failures = 0
	}
}
