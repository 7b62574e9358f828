package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	loadDuration    = 25 * time.Second
	requestInterval = 10 * time.Millisecond // between the requests of all clients together
	customers       = 60
	lessonShare     = 0.26 // share of book-lesson
	noLengthShare   = 0.1  // share of the answers that have no length
	minNoLength     = 20   // such answers that the case needs
)

// noLengthAnswers records the answers without a length that were written whole, by request. Only
// the first answer to a request counts, as the client gets no other one.
type noLengthAnswers struct {
	mu        sync.Mutex
	firstBody map[string]string // by request id; empty: the first answer had a length
	classes   map[string]string
}

// add records an answer that was written.
func (a *noLengthAnswers) add(x *execution, hasLength bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.firstBody[x.id]; ok {
		return
	}
	a.firstBody[x.id] = ""
	if !hasLength {
		a.firstBody[x.id] = x.body()
	}
	a.classes[x.id] = x.class
}

// withoutLength sends requests at a steady rate. The disruption: one answer in ten has no length
// and comes whole. The rule is broken if less than half of these are forwarded.
func withoutLength(f *fleet) (held bool, err error) {
	written := &noLengthAnswers{firstBody: map[string]string{}, classes: map[string]string{}}
	respond := func(conn net.Conn, x *execution) bool {
		work(x.class)
		if !f.trouble || rand.Float64() >= noLengthShare {
			written.add(x, true)
			return writeWithLength(conn, x) == nil
		}
		if err := writeWithoutLength(conn, x); err == nil {
			f.record.printf("execution %d of %s: whole answer without a length", x.number, x.id)
			written.add(x, false)
		}
		return false // the connection ends in order, which is the end of the answer
	}
	if err := f.start(processLimits{Cores: 1, MemoryMB: 64, Sockets: 608}, respond); err != nil {
		return false, err
	}
	answers := f.playLoad()
	if err := f.allRunning(); err != nil {
		return false, err
	}
	return f.checkForwarded(written, answers)
}

// playLoad sends requests for loadDuration and returns the answers by request id.
func (f *fleet) playLoad() map[string]answer {
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	pools := f.connPools()
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for i := range int(loadDuration / requestInterval) {
		<-ticker.C
		clients.Go(func() {
			class, id := timetableRead, newID()
			if rand.Float64() < lessonShare {
				class = bookLesson
			}
			got, err := pools[i%gateways].send(class, id, rand.IntN(customers), 1)
			f.record.printf("client: %s %s through edge node %d: %d %q, error %v", class, id, i%gateways, got.status, got.body, err)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = got
		})
	}
	clients.Wait()
	return answers
}

// checkForwarded compares the whole answers without a length with what the clients got.
func (f *fleet) checkForwarded(written *noLengthAnswers, answers map[string]answer) (held bool, err error) {
	whole, forwarded, lessons, lessonsFailed, served := 0, 0, 0, 0, 0
	for id, got := range answers {
		if got.status == 200 {
			served++
		}
		body := written.firstBody[id]
		if body == "" {
			continue
		}
		whole++
		if got.body == body {
			forwarded++
		}
		if written.classes[id] == bookLesson {
			lessons++
			if got.status != 200 {
				lessonsFailed++
			}
		}
	}
	f.record.printf("%d requests, %d served; %d whole answers without a length, %d of them forwarded; "+
		"%d of them to book-lesson, where %d clients got a failure for a lesson that was booked",
		len(answers), served, whole, forwarded, lessons, lessonsFailed)
	switch {
	case served == 0:
		return false, errors.New("no request was served")
	case f.trouble && whole < minNoLength:
		return false, fmt.Errorf("only %d answers without a length came whole", whole)
	}
	return 2*forwarded >= whole, nil
}
