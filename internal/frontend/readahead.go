package frontend

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// MaxReadAheadBytes is how many bytes may be read ahead of a client that sends more than
	// the request in flight: one whole further request. Past that, its disconnecting is
	// not seen before some of them are consumed.
	MaxReadAheadBytes = maxHeaderBytes + MaxBodyBytes
	// ReadAheadChunkBytes is how many bytes are read at a time. The first chunk needs no share
	// of the memory budget: a stray line end, or a usual request.
	ReadAheadChunkBytes = 512
)

// readAhead reads a connection whose client sends while its request is in flight: only
// who reads on sees that the client disconnects. What comes is kept, in its order, for
// Read. A goroutine of its own reads the connection; the methods may be called from any
// other one.
type readAhead struct {
	conn         net.Conn
	memory       *MemoryBudget   // shared by all connections
	disconnected chan<- struct{} // closed at the connection's end

	mu       sync.Mutex
	changed  *sync.Cond // some field below has changed
	buffer   []byte     // read and not yet consumed
	reserved int64      // bytes taken from memory
	err      error      // how the connection ended
	timedOut bool       // the read deadline has passed, and no other was set since
	// deadlineVersion counts the deadlines: a read that met the last one may return after
	// the next was set, and then does not count.
	deadlineVersion int
	closed          bool // by this side
}

// newReadAhead begins to read conn until its end. Nobody else may read it from then on.
func newReadAhead(conn net.Conn, memory *MemoryBudget, disconnected chan<- struct{}) *readAhead {
	a := &readAhead{conn: conn, memory: memory, disconnected: disconnected}
	a.changed = sync.NewCond(&a.mu)
	go a.run()
	return a
}

// run fills the buffer. It ends with the connection, which its owner closes.
func (a *readAhead) run() {
	defer close(a.disconnected)
	var chunk [ReadAheadChunkBytes]byte
	for {
		size, version, ok := a.awaitCapacity()
		if !ok {
			return
		}
		count, err := a.conn.Read(chunk[:size])
		if !a.store(chunk[:count], err, version) {
			return
		}
	}
}

// awaitCapacity waits until more may be read. It returns how much, and the version of the
// deadline that the read will meet. It reports false once this side has closed the connection.
func (a *readAhead) awaitCapacity() (size, deadlineVersion int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.closed && (a.timedOut || !a.reserve()) {
		a.changed.Wait()
	}
	return min(ReadAheadChunkBytes, MaxReadAheadBytes-len(a.buffer)), a.deadlineVersion, !a.closed
}

// reserve takes the memory for what is kept and reports whether another chunk may be read.
// The lock is held.
func (a *readAhead) reserve() bool {
	for int64(len(a.buffer)) > a.reserved {
		if !a.memory.Reserve(ReadAheadChunkBytes) {
			return false
		}
		a.reserved += ReadAheadChunkBytes
	}
	return len(a.buffer) < MaxReadAheadBytes
}

// store keeps the result of one read and reports whether the connection can be read on.
func (a *readAhead) store(chunk []byte, err error, deadlineVersion int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffer = append(a.buffer, chunk...)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.timedOut = deadlineVersion == a.deadlineVersion
	case err != nil:
		a.err = err
	}
	a.changed.Broadcast()
	return a.err == nil
}

// Read returns what was read ahead, else waits for more, until the deadline.
func (a *readAhead) Read(b []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.buffer) == 0 {
		switch {
		case a.err != nil:
			return 0, a.err
		case a.closed:
			return 0, net.ErrClosed
		case a.timedOut:
			return 0, os.ErrDeadlineExceeded
		}
		a.changed.Wait()
	}
	count := copy(b, a.buffer)
	a.buffer = a.buffer[count:]
	if len(a.buffer) == 0 {
		a.release()
	}
	a.changed.Broadcast()
	return count, nil
}

// release drops the buffer and gives back its memory. The lock is held.
func (a *readAhead) release() {
	a.buffer = nil
	a.memory.Release(a.reserved)
	a.reserved = 0
}

// setReadDeadline sets the deadline of the connection's reads and of Read.
func (a *readAhead) setReadDeadline(deadline time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.conn.SetReadDeadline(deadline)
	a.deadlineVersion++
	a.timedOut = false
	a.changed.Broadcast()
	return err
}

// buffered returns how many bytes are kept for Read.
func (a *readAhead) buffered() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.buffer)
}

// close wakes all that wait, once the connection is closed.
func (a *readAhead) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.release()
	a.changed.Broadcast()
}
