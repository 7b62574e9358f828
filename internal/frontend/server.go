package frontend

import (
	"fmt"
	"log/slog"
	"net/http"
	"time"
)

const (
	// maxHeaderBytes limits the size of a request's head.
	maxHeaderBytes = 16 << 10
	// readHeaderTimeout limits the time for reading a request's head, counted from the start
	// of the connection or from the head's first bytes. The connection of a client that
	// sends a malformed or incomplete request must end within 3 s; a connection on which
	// nothing is sent must stay open for 2 s.
	readHeaderTimeout = 2200 * time.Millisecond
	// ReadTimeout limits the time for reading a complete request, counted from the same
	// moment as readHeaderTimeout.
	ReadTimeout = 2700 * time.Millisecond
	// writeTimeout limits the time for writing a response after the longest deadline.
	writeTimeout = 10 * time.Second
	// idleTimeout limits how long a connection waits for the client's next request.
	idleTimeout = 5 * time.Second
)

// ServerConfig configures a [Server].
type ServerConfig struct {
	Handler         http.Handler
	Tracker         *Tracker      // must not be shared with another server
	LongestDeadline time.Duration // the longest time that a client waits for a response
	Log             *slog.Logger  // also receives net/http's messages, at level Debug
}

// Server serves HTTP to clients on one listener.
//
// It does not use [http.Server.Shutdown], because net/http then drops the requests that it
// still reads, without a response. The phases of this server's shutdown read and serve them.
type Server struct {
	http     *http.Server
	listener *Listener
	tracker  *Tracker
}

// NewServer returns a server on ln. It accepts no connections before [Server.Serve] is called.
func NewServer(ln DeadlineListener, config ServerConfig) *Server {
	return &Server{
		http: &http.Server{
			Handler:           config.Handler,
			ReadHeaderTimeout: readHeaderTimeout,
			ReadTimeout:       ReadTimeout,
			WriteTimeout:      config.LongestDeadline + writeTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ConnState:         config.Tracker.ConnState,
			ConnContext:       config.Tracker.ConnContext,
			ErrorLog:          slog.NewLogLogger(config.Log.Handler(), slog.LevelDebug),
		},
		listener: NewListener(ln, config.Tracker, config.Log),
		tracker:  config.Tracker,
	}
}

// Serve accepts and serves connections until the time set by [Server.StopAccepting], or
// until the listener fails or [Server.Close] is called. It always returns a non-nil error.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// StartDraining closes the idle connections, and from now on each connection that becomes
// idle. A connection with a request in flight closes after the response if the handler sets
// Connection: close, which it must do if [Tracker.Draining] returns true. New connections
// are still accepted.
func (s *Server) StartDraining() { s.tracker.startDraining() }

// StopAccepting sets the time at which Serve stops accepting connections and returns.
func (s *Server) StopAccepting(at time.Time) error {
	if err := s.listener.SetDeadline(at); err != nil {
		return fmt.Errorf("setting the listener's deadline: %w", err)
	}
	return nil
}

// StopReading sets the deadline by which requests that are still arriving must be complete.
// It is called after Serve has returned.
func (s *Server) StopReading(deadline time.Time) { s.tracker.setFinalReadDeadline(deadline) }

// AllClosed returns a channel that is closed once no connection is open. It may be called
// only once, after Serve has returned.
func (s *Server) AllClosed() <-chan struct{} { return s.tracker.notifyAllClosed() }

// Close immediately closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }
