package frontend

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	// maxHeaderBytes is the most bytes of a request's head.
	maxHeaderBytes = 16 << 10
	// readHeaderTimeout is the time for a request's head, from the start of its connection
	// or from its first bytes on. A client that sends a malformed or incomplete request must
	// get an end within 3 s; a silent connection must be kept for 2 s.
	readHeaderTimeout = 2200 * time.Millisecond
	// ReadTimeout is the time for a whole request, counted like that for its head.
	ReadTimeout = 2700 * time.Millisecond
	// writeTimeout is the time for writing a response, past the longest deadline.
	writeTimeout = 10 * time.Second
	// idleTimeout is the time for a client's next request.
	idleTimeout = 5 * time.Second
)

// ServerConfig is what a [Server] is made of.
type ServerConfig struct {
	Handler         http.Handler
	Tracker         *Tracker      // of no other server
	LongestDeadline time.Duration // the longest that a client waits for a response
	Log             *slog.Logger  // gets the HTTP library's messages at the level Debug
}

// Server serves HTTP to clients on one listener.
//
// It does without [http.Server.Shutdown]: from then on the library drops the requests that
// it reads, without a response. The phases of its own shutdown read and serve them.
type Server struct {
	http     *http.Server
	listener *Listener
	tracker  *Tracker
}

// NewServer returns a server that accepts nothing yet.
func NewServer(ln *net.TCPListener, config ServerConfig) *Server {
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
		listener: NewListener(ln, config.Tracker),
		tracker:  config.Tracker,
	}
}

// Serve accepts and serves connections until the time that [Server.StopAccepting] set, or
// until the listener fails or [Server.Close] is called. It always returns an error.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// StartDraining closes the idle connections, now and as they become idle. Those with a
// request in flight close after its response if the handler sets Connection: close, as it
// must where [Tracker.Draining] reports true. New connections are still accepted.
func (s *Server) StartDraining() { s.tracker.startDraining() }

// StopAccepting sets when Serve stops accepting connections and returns.
func (s *Server) StopAccepting(at time.Time) error {
	if err := s.listener.SetDeadline(at); err != nil {
		return fmt.Errorf("closing the listener: %w", err)
	}
	return nil
}

// StopReading gives the requests that are still on their way until a deadline to come
// whole. It is called once Serve has returned.
func (s *Server) StopReading(deadline time.Time) { s.tracker.setFinalReadDeadline(deadline) }

// AllClosed returns a channel that is closed once no connection is open. It is called at
// most once, after Serve has returned.
func (s *Server) AllClosed() <-chan struct{} { return s.tracker.notifyAllClosed() }

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }
