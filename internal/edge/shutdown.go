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
	// acceptDuration is how long new connections are accepted after a stop was asked for;
	// readDuration is how long after that a request on its way has to come whole. What
	// comes later than 0.7 s after SIGTERM would have to be answered before SIGKILL.
	acceptDuration = 500 * time.Millisecond
	readDuration   = 150 * time.Millisecond
	// SIGKILL comes after SIGTERM no sooner than the longest deadline, counted as
	// maxCountedDeadline where it is longer, and killSlack. killMargin before that, what is still
	// open gets its final answer; writeDuration is for writing those.
	maxCountedDeadline = 3 * time.Second
	killGrace          = 700 * time.Millisecond
	killMargin         = 100 * time.Millisecond
	writeDuration      = killMargin / 2
)

// shutdownPhases are the steps of a graceful shutdown.
type shutdownPhases struct {
	acceptDuration time.Duration // after the stop, new connections are accepted until then
	readDuration   time.Duration // and requests on their way are read for this long more
	answerTimeout  time.Duration // after the stop, all is answered by then
	writeDuration  time.Duration // and written by this much later
}

// newShutdownPhases returns the phases for clients that wait no longer than a deadline.
func newShutdownPhases(longestDeadline time.Duration) shutdownPhases {
	return shutdownPhases{
		acceptDuration: acceptDuration,
		readDuration:   readDuration,
		answerTimeout:  min(longestDeadline, maxCountedDeadline) + killGrace - killMargin,
		writeDuration:  writeDuration,
	}
}

// Run serves clients until ctx is done, then finishes what it has received. It returns nil
// after a graceful shutdown, also if that had to cut connections off.
func (n *Node) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", n.cfg.ListenAddress)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	return n.serve(ctx, ln.(*net.TCPListener))
}

// serve is Run on a listener.
func (n *Node) serve(ctx context.Context, ln *net.TCPListener) error {
	server := frontend.NewServer(ln, frontend.ServerConfig{
		Handler:         n,
		Tracker:         n.clients,
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
		return fmt.Errorf("serving clients: %w", err)
	case err := <-n.fatalError:
		return errors.Join(err, server.Close())
	case <-ctx.Done():
		return n.shutDown(server, served)
	}
}

// shutDown runs the phases of a graceful shutdown. A value comes from served when the
// server has stopped accepting.
func (n *Node) shutDown(server *frontend.Server, served <-chan error) error {
	requestedAt := time.Now()
	n.log.Info("draining")
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	server.StartDraining()
	if err := server.StopAccepting(requestedAt.Add(n.phases.acceptDuration)); err != nil {
		return err
	}
	<-served
	server.StopReading(time.Now().Add(n.phases.readDuration))
	failAt := requestedAt.Add(n.phases.answerTimeout)
	n.mu.Lock()
	n.afterFunc(time.Until(failAt), n.failPending)
	n.mu.Unlock()
	select {
	case <-server.AllClosed():
		n.log.Info("drained")
	case <-time.After(time.Until(failAt.Add(n.phases.writeDuration))):
		n.log.Warn("connections left open at the end of draining")
	}
	return server.Close()
}

// failPending gives all open requests their final answer, as their process is about to
// be killed. The lock is held.
func (n *Node) failPending() {
	n.rejecting = true
	for _, r := range n.requests {
		n.expire(r)
	}
}

// longestDeadline is the longest that a client waits, over all classes.
func longestDeadline(settings *config.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
