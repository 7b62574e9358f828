package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	rounds         = 5                      // times that the idle clients come
	usualClients   = 16                     // usual clients of each edge node in a round
	idleClients    = 300                    // clients that connect to each edge node and say nothing
	restDuration   = time.Second            // from a usual client's first answer to its next request
	pieceInterval  = 100 * time.Millisecond // from the first piece of a request to its last one
	pieceStagger   = 500 * time.Microsecond // by which the last pieces of the clients lie apart
	idleClientsAt  = 102 * time.Millisecond // when the idle clients connect, after the first pieces
	idleClientStay = 2 * time.Second        // how long they stay
	arrivalTime    = time.Millisecond       // for written bytes to reach the edge node's machine
)

// outcome is what became of a request that was written in pieces.
type outcome int

const (
	answered       outcome = iota
	endedBefore            // the edge node ended the connection before the last byte was written
	endedAfter             // it ended it after that, with no answer
	answeredLater          // the same, but the request was answered when it was sent once more
	neverConnected         // the case could not run
)

// tally counts outcomes.
type tally struct {
	mu    sync.Mutex
	count map[outcome]int
}

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count[o]++
}

// closedInRequest has usual clients send their next request in two pieces on a kept connection.
// The disruption: idle clients fill the edge nodes' descriptors meanwhile. The rule is broken if a
// book-lesson request whose last byte was written on an open connection gets no answer, or a
// timetable-read request gets none on a second connection either.
func closedInRequest(f *fleet) (held bool, err error) {
	respond := func(conn net.Conn, x *execution) bool {
		work(x.class)
		return writeWithLength(conn, x) == nil
	}
	if err := f.start(processLimits{Cores: 1, MemoryMB: 64, Sockets: 256}, respond); err != nil {
		return false, err
	}
	results := &tally{count: map[outcome]int{}}
	for round := range rounds {
		var clients sync.WaitGroup
		for _, n := range f.nodes {
			f.playRound(n, round, results, &clients)
		}
		clients.Wait()
		if err := f.allRunning(); err != nil {
			return false, err
		}
	}
	f.record.printf("requests in two pieces: %d answered; %d without an answer, their connection ended by the edge node after the last byte was written; "+
		"%d of that kind answered on a second connection; %d whose connection it ended between the two pieces",
		results.count[answered], results.count[endedAfter], results.count[answeredLater], results.count[endedBefore])
	if results.count[neverConnected] > 0 {
		return false, fmt.Errorf("%d usual clients got no answer to their first request", results.count[neverConnected])
	}
	return results.count[endedAfter] == 0, nil
}

// playRound starts the clients of one edge node.
func (f *fleet) playRound(n *node, round int, results *tally, clients *sync.WaitGroup) {
	var ready sync.WaitGroup
	begin := make(chan struct{})
	for i := range usualClients {
		ready.Add(1)
		clients.Go(func() {
			results.add(f.playUsualClient(n, i, &ready, begin))
		})
	}
	clients.Go(func() {
		ready.Wait()
		time.Sleep(restDuration)
		close(begin)
		time.Sleep(idleClientsAt)
		if f.trouble {
			f.record.printf("round %d: %d idle clients connect to edge node %d", round, idleClients, n.rank)
			connectIdleClients(n.address)
		}
	})
}

// playUsualClient gets one answer on a connection, rests, and sends the next request in two pieces.
func (f *fleet) playUsualClient(n *node, index int, ready *sync.WaitGroup, begin <-chan struct{}) outcome {
	customer := n.rank*usualClients + index
	conn, err := dialNode(n.address)
	if err == nil {
		defer conn.Close()
		_, err = conn.roundTrip(timetableRead, newID(), customer, 1)
	}
	ready.Done()
	if err != nil {
		f.record.printf("edge node %d: first request of a usual client: %v", n.rank, err)
		return neverConnected
	}
	<-begin
	class, id := bookLesson, newID()
	if index%4 == 0 {
		class = timetableRead
	}
	text := requestText(class, id, customer, 1)
	half := len(text) / 2
	f.record.printf("client writes the first half of %s %s to edge node %d", class, id, n.rank)
	io.WriteString(conn, text[:half])
	time.Sleep(pieceInterval + time.Duration(index)*pieceStagger)
	_, writeErr := io.WriteString(conn, text[half:])
	writtenAt := time.Now()
	time.Sleep(arrivalTime)
	wasOpen := writeErr == nil && conn.isOpen()
	got, err := conn.readAnswer(class)
	if err == nil {
		f.record.printf("%s %s: answered with %d", class, id, got.status)
		return answered
	}
	f.record.printf("%s %s: no answer: %v, %.4f s after the last byte was written; connection open after that byte: %v",
		class, id, err, time.Since(writtenAt).Seconds(), wasOpen)
	if !wasOpen {
		return endedBefore
	}
	if class == timetableRead && f.sendOnceMore(n, class, id, customer) {
		return answeredLater
	}
	return endedAfter
}

// sendOnceMore sends a request that is safe to repeat once more, on a new connection, and reports
// whether it was answered.
func (f *fleet) sendOnceMore(n *node, class, id string, customer int) bool {
	conn, err := dialNode(n.address)
	if err == nil {
		defer conn.Close()
		_, err = conn.roundTrip(class, id, customer, 1)
	}
	f.record.printf("%s %s sent once more: error %v", class, id, err)
	return err == nil
}

// connectIdleClients opens connections on which nothing is sent.
func connectIdleClients(address string) {
	var clients sync.WaitGroup
	for range idleClients {
		clients.Go(func() {
			conn, err := dialNode(address)
			if err != nil {
				return
			}
			time.Sleep(idleClientStay)
			conn.Close()
		})
	}
	clients.Wait()
}
