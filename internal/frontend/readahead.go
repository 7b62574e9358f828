package frontend

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"swiftpitch/internal/socket"
)

const (
	// MaxReadAheadBytes limits the data that is read ahead on a connection while a request is
	// in flight: one complete further request. While the buffer is full, a disconnect of the
	// client is not detected.
	MaxReadAheadBytes = maxHeaderBytes + MaxBodyBytes
	// ReadAheadChunkBytes is the largest number of bytes read at a time. The first chunk is
	// read without a reservation of memory: it holds a stray line end or a request of usual
	// size.
	ReadAheadChunkBytes = 512
	// arrivalResolution is the difference up to which arrivals of data count as one.
	arrivalResolution = 10 * time.Millisecond
)

// arrival is when a part of the buffered data arrived, or a time before it.
type arrival struct {
	at    time.Time
	bytes int // buffered bytes of that time
}

// readAhead reads a connection whose client sends more data while a request is in flight,
// because the client's disconnect is only detected by reading on. The data is buffered for
// Read. Its own goroutine reads the connection, in run; Read, setReadDeadline, buffered and
// close may be called from any goroutine.
type readAhead struct {
	conn         net.Conn
	memory       *MemoryBudget   // shared by all connections
	disconnected chan<- struct{} // closed when the connection ends

	mu       sync.Mutex
	changed  *sync.Cond // signals that a field below has changed
	buffer   []byte     // data read and not yet consumed
	arrivals []arrival  // of the data in buffer, in its order
	reserved int64      // bytes reserved in the memory budget
	// behindSince is when reading last had to wait for capacity, if the kernel may hold data
	// since then; else zero.
	behindSince time.Time
	err         error // the read error that ended the connection
	timedOut    bool  // the read deadline has passed, and none was set since
	// deadlineVersion counts the deadlines that were set. A read that hit one deadline may
	// return after the next one was set; its timeout is then ignored.
	deadlineVersion int
	closed          bool // the node has closed the connection
}

// newReadAhead starts to read conn until it ends. Nothing else may read conn from then on.
func newReadAhead(conn net.Conn, memory *MemoryBudget, disconnected chan<- struct{}) *readAhead {
	a := &readAhead{conn: conn, memory: memory, disconnected: disconnected}
	a.changed = sync.NewCond(&a.mu)
	go a.run()
	return a
}

// run fills the buffer until the connection fails or its owner closes it.
func (a *readAhead) run() {
	defer close(a.disconnected)
	var chunk [ReadAheadChunkBytes]byte
	for {
		size, version, ok := a.awaitCapacity()
		if !ok {
			return
		}
		count, err := socket.Read(a.conn, chunk[:size])
		if !a.store(chunk[:count], size, err, version) {
			return
		}
	}
}

// awaitCapacity waits until more may be read. It returns the size of the next read and the
// version of the deadline that applies to it. ok is false once the node has closed the
// connection.
func (a *readAhead) awaitCapacity() (size, deadlineVersion int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.closed && (a.timedOut || !a.reserve()) {
		if a.behindSince.IsZero() {
			a.behindSince = time.Now()
		}
		a.changed.Wait()
	}
	return min(ReadAheadChunkBytes, MaxReadAheadBytes-len(a.buffer)), a.deadlineVersion, !a.closed
}

// reserve reserves memory for the buffered data and reports whether another chunk may be
// read. The lock is held.
func (a *readAhead) reserve() bool {
	for int64(len(a.buffer)) > a.reserved {
		if !a.memory.Reserve(ReadAheadChunkBytes) {
			return false
		}
		a.reserved += ReadAheadChunkBytes
	}
	return len(a.buffer) < MaxReadAheadBytes
}

// store records the result of one read of up to size bytes and reports whether reading continues.
func (a *readAhead) store(chunk []byte, size int, err error, deadlineVersion int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffer = append(a.buffer, chunk...)
	a.recordArrival(len(chunk))
	if len(chunk) < size { // the kernel holds no more data
		a.behindSince = time.Time{}
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.timedOut = deadlineVersion == a.deadlineVersion
	case err != nil:
		a.err = err
	}
	a.changed.Broadcast()
	return a.err == nil
}

// recordArrival records when data that was just read arrived. The lock is held.
func (a *readAhead) recordArrival(bytes int) {
	at := a.behindSince
	if at.IsZero() {
		at = time.Now()
	}
	if last := len(a.arrivals) - 1; last >= 0 && at.Sub(a.arrivals[last].at) < arrivalResolution {
		a.arrivals[last].bytes += bytes
		return
	}
	a.arrivals = append(a.arrivals, arrival{at: at, bytes: bytes})
}

// behind reports whether the kernel may hold data that could not be read ahead.
func (a *readAhead) behind() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.behindSince.IsZero()
}

// Read returns buffered data that arrived together, and when it arrived, or a time before it. If
// there is none, it waits for some until the deadline.
func (a *readAhead) Read(b []byte) (count int, arrivedAt time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.buffer) == 0 {
		switch {
		case a.err != nil:
			return 0, time.Time{}, a.err
		case a.closed:
			return 0, time.Time{}, net.ErrClosed
		case a.timedOut:
			return 0, time.Time{}, os.ErrDeadlineExceeded
		}
		a.changed.Wait()
	}
	count, arrivedAt = a.consume(b)
	a.changed.Broadcast()
	return count, arrivedAt, nil
}

// consume moves data that arrived together from the buffer to b. The lock is held.
func (a *readAhead) consume(b []byte) (count int, arrivedAt time.Time) {
	first := &a.arrivals[0]
	arrivedAt = first.at
	count = copy(b, a.buffer[:first.bytes])
	a.buffer = a.buffer[count:]
	first.bytes -= count
	if first.bytes == 0 {
		a.arrivals = a.arrivals[1:]
	}
	if len(a.buffer) == 0 {
		a.release()
	}
	return count, arrivedAt
}

// release drops the buffer and returns its memory to the budget. The lock is held.
func (a *readAhead) release() {
	a.buffer = nil
	a.arrivals = nil
	a.memory.Release(a.reserved)
	a.reserved = 0
}

// setReadDeadline sets the deadline for reads from the connection and for Read.
func (a *readAhead) setReadDeadline(deadline time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.conn.SetReadDeadline(deadline)
	a.deadlineVersion++
	a.timedOut = false
	a.changed.Broadcast()
	return err
}

// buffered returns the number of bytes in the buffer.
func (a *readAhead) buffered() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.buffer)
}

// close wakes all waiting goroutines and drops the buffer. It is called after the connection
// was closed.
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
