package edge

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// aheadMost is what may be read ahead of a client that sends more than the request
	// under way: one whole further request. Past that its leaving is not seen before some
	// of it is used up.
	aheadMost = headMost + bodyMost
	// aheadPart is what is read at a time. The first needs no share of the memory for that:
	// a stray line's end, or a usual request.
	aheadPart = 512
)

// readAhead reads a connection whose client sends while its request is under way: only who
// reads on sees that it goes. What comes is kept, in its order, for Read.
type readAhead struct {
	conn net.Conn
	room *atomic.Int64   // bytes that may still be taken in, for all connections
	left chan<- struct{} // closed at the connection's end

	mu      sync.Mutex
	changed *sync.Cond
	buf     []byte
	taken   int64 // of room
	err     error // the end of the connection
	expired bool  // the deadline has passed, and there was no other since
	nth     int   // of the deadlines, which may change while a read that met the last one returns
	closed  bool  // by this side
}

// newReadAhead begins to read conn until its end. Nobody else may read it from then on.
func newReadAhead(conn net.Conn, room *atomic.Int64, left chan<- struct{}) *readAhead {
	a := &readAhead{conn: conn, room: room, left: left}
	a.changed = sync.NewCond(&a.mu)
	go a.run()
	return a
}

// run ends with the connection, which its owner closes.
func (a *readAhead) run() {
	defer close(a.left)
	var part [aheadPart]byte
	for {
		a.mu.Lock()
		for !a.closed && (a.expired || !a.reserve()) {
			a.changed.Wait()
		}
		closed, size, nth := a.closed, min(len(part), aheadMost-len(a.buf)), a.nth
		a.mu.Unlock()
		if closed {
			return
		}
		k, err := a.conn.Read(part[:size])
		a.mu.Lock()
		a.buf = append(a.buf, part[:k]...)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			a.expired = nth == a.nth
		case err != nil:
			a.err = err
		}
		ended := a.err != nil
		a.changed.Broadcast()
		a.mu.Unlock()
		if ended {
			return
		}
	}
}

// reserve makes sure that there is room for another part. The lock is held.
func (a *readAhead) reserve() bool {
	for int64(len(a.buf)) > a.taken {
		if a.room.Add(-aheadPart) < 0 {
			a.room.Add(aheadPart)
			return false
		}
		a.taken += aheadPart
	}
	return len(a.buf) < aheadMost
}

// Read gives what was read, then waits for more, until the deadline.
func (a *readAhead) Read(b []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.buf) == 0 {
		switch {
		case a.err != nil:
			return 0, a.err
		case a.closed:
			return 0, net.ErrClosed
		case a.expired:
			return 0, os.ErrDeadlineExceeded
		}
		a.changed.Wait()
	}
	k := copy(b, a.buf)
	if a.buf = a.buf[k:]; len(a.buf) == 0 {
		a.free()
	}
	a.changed.Broadcast()
	return k, nil
}

// free gives back what the bytes read took. The lock is held.
func (a *readAhead) free() {
	a.buf = nil
	a.room.Add(a.taken)
	a.taken = 0
}

func (a *readAhead) setDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.conn.SetReadDeadline(t)
	a.nth++
	a.expired = false
	a.changed.Broadcast()
	return err
}

// close wakes all that wait, once the connection is closed.
func (a *readAhead) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.closed = true
		a.free()
		a.changed.Broadcast()
	}
}
