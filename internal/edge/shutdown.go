package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/frontend"
)

const (
	// acceptDuration is how long new connections are accepted after the request to shut down;
	// readDuration is how long after that partly received requests are still read. A request
	// received more than 0.7 s after SIGTERM could be cut off by SIGKILL before its deadline.
	acceptDuration = 500 * time.Millisecond
	readDuration   = 150 * time.Millisecond
	// The earliest SIGKILL comes min(longest deadline, maxCountedDeadline) + killGrace after
	// SIGTERM. Requests still open killMargin before that get their final answer; writeDuration
	// is the time for writing it.
	maxCountedDeadline = 3 * time.Second
	killGrace          = 700 * time.Millisecond
	killMargin         = 100 * time.Millisecond
	writeDuration      = killMargin / 2
)

const (
	// listenTimeout limits how long the node tries to open its listener.
	listenTimeout = 3 * time.Second
	// listenRetryDelay is the pause between two attempts.
	listenRetryDelay = 100 * time.Millisecond
)

// shutdownPhases holds the durations of the phases of a graceful shutdown.
type shutdownPhases struct {
	acceptDuration time.Duration // from the request to shut down until new connections are refused
	readDuration   time.Duration // after that, for reading requests that are partly received
	answerTimeout  time.Duration // from the request to shut down until all requests are answered
	writeDuration  time.Duration // after that, for writing the answers
}

// newShutdownPhases returns the durations for the longest deadline of all classes.
func newShutdownPhases(longestDeadline time.Duration) shutdownPhases {
	return shutdownPhases{
		acceptDuration: acceptDuration,
		readDuration:   readDuration,
		answerTimeout:  min(longestDeadline, maxCountedDeadline) + killGrace - killMargin,
		writeDuration:  writeDuration,
	}
}

// Run serves clients until ctx is done and then shuts down gracefully: it answers the requests
// that it has received. It returns nil after a graceful shutdown, even if connections had to be
// cut off.
func (n *Node) Run(ctx context.Context) error {
	ln, err := n.listen(ctx)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	return n.serve(ctx, ln.(*net.TCPListener))
}

// listen opens the listener for clients. It repeats an attempt that fails for listenTimeout, because
// the address or a resource may become free.
func (n *Node) listen(ctx context.Context) (net.Listener, error) {
	for deadline := time.Now().Add(listenTimeout); ; {
		ln, err := net.Listen("tcp", n.cfg.ListenAddress)
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return ln, err
		}
		n.log.Warn("listening for clients fails", "err", err)
		time.Sleep(listenRetryDelay)
	}
}

// serve is Run on an open listener.
func (n *Node) serve(ctx context.Context, ln frontend.DeadlineListener) error {
	server := frontend.NewServer(ln, frontend.ServerConfig{
		Handler:         n,
		Tracker:         n.clientConns,
		LongestDeadline: longestDeadline(n.cfg.Settings),
		Log:             n.log,
	})
	n.start()
	defer n.close()
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	n.log.Info("serving", "listen", ln.Addr().String())
	select {
	case err := <-served:
		n.log.Error("the listener is broken", "err", err)
		served <- err // for shutDown
		return errors.Join(fmt.Errorf("serving clients: %w", err), n.shutDown(server, served))
	case err := <-n.fatalError:
		n.mu.Lock()
		n.failPending()
		n.mu.Unlock()
		return errors.Join(err, n.shutDown(server, served))
	case <-ctx.Done():
		return n.shutDown(server, served)
	}
}

// shutDown executes the phases of a graceful shutdown. served delivers a value when the server
// has stopped accepting.
func (n *Node) shutDown(server *frontend.Server, served <-chan error) error {
	requestedAt := time.Now()
	n.log.Info("draining")
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	server.StartDraining()
	if err := server.StopAccepting(requestedAt.Add(n.phases.acceptDuration)); err != nil {
		n.log.Warn("the listener is closed", "err", err) // Serve has returned or is about to
	}
	<-served
	server.StopReading(time.Now().Add(n.phases.readDuration))
	failAt := requestedAt.Add(n.phases.answerTimeout)
	n.mu.Lock()
	n.afterFunc(time.Until(failAt), n.failPending)
	n.mu.Unlock()
	n.awaitAllClosed(server, failAt.Add(n.phases.writeDuration))
	return server.Close()
}

// awaitAllClosed waits until no client is connected any more, or for the deadline.
func (n *Node) awaitAllClosed(server *frontend.Server, deadline time.Time) {
	select {
	case <-server.AllClosed():
		n.log.Info("drained")
	case <-time.After(time.Until(deadline)):
		n.log.Warn("connections left open at the end of draining")
	}
}

// failPending gives all open requests their final answer, because the process is about to be
// killed, and has later requests rejected. The caller holds n.mu.
func (n *Node) failPending() {
	n.rejecting = true
	for _, r := range n.requests {
		n.expire(r)
	}
}

// longestDeadline returns the longest deadline of all classes.
func longestDeadline(settings *config.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
