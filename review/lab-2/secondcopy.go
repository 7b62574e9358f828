package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// repeatShare is the share of the answers of one booking server that a second copy follows.
	repeatShare = 0.1
	// A second copy is written minRepeat to maxRepeat after the answer: some milliseconds late.
	minRepeat = time.Millisecond
	maxRepeat = 5 * time.Millisecond
	// turnAwayShare is the share of the requests that this server turns away unseen.
	turnAwayShare = 0.1
)

// turnAwayOrAnswer turns some requests away and answers the others.
func turnAwayOrAnswer(req *http.Request, body string) (text string, usable bool) {
	if rand.Float64() < turnAwayShare {
		return "HTTP/1.1 503 Service Unavailable\r\n" + neverRan + "\r\nContent-Length: 0\r\n\r\n", true
	}
	return goodAnswer(req, body)
}

// repeatDelay returns how long after an answer its second copy follows, 0 for none.
func repeatDelay() time.Duration {
	if rand.Float64() >= repeatShare {
		return 0
	}
	return minRepeat + time.Duration(rand.Float64()*float64(maxRepeat-minRepeat))
}

// playSecondCopy: one booking server sends some answers twice.
func playSecondCopy(l *lab) int {
	d := &deployment{nodes: 1, discoveryMode: "push", drainGrace: 2 * time.Second, customerSpread: 1, customersPerNode: 16, connsPerNode: 32}
	f, err := l.startFleet(d, 3, 20*time.Millisecond)
	if err != nil {
		return l.cannotRun("%v", err)
	}
	f.servers[0].setAnswerText(turnAwayOrAnswer)
	if l.trouble {
		f.servers[0].setRepeat(repeatDelay, func(id string, answeredAt, repeatedAt time.Time, next string, nextAt time.Time) {
			l.recordAt(answeredAt, "s-0 answers %s, writes a second copy %.1f ms later; the next request on the connection, %s, comes %.1f ms after the answer",
				id, repeatedAt.Sub(answeredAt).Seconds()*1000, next, nextAt.Sub(answeredAt).Seconds()*1000)
		})
	}
	stop := startClients(f.nodes, f.counts, 200)
	time.Sleep(30 * time.Second)
	stop()
	return f.judgeAnswers()
}

// judgeAnswers checks that each answer 200 is the one made for its request, and that no request of
// the class book-lesson ran twice, or ran and was refused.
func (f *fleet) judgeAnswers() int {
	for _, wrong := range f.counts.wrong {
		f.lab.record("wrong answer: %s", wrong)
	}
	ran := map[string]int{}
	for _, s := range f.servers {
		s.mu.Lock()
		for id, times := range s.ran {
			ran[id] += times
		}
		s.mu.Unlock()
	}
	twice, refused := 0, 0
	for id, status := range f.counts.booked {
		if ran[id] > 1 {
			twice++
			f.lab.record("book-lesson %s ran %d times", id, ran[id])
		}
		if ran[id] > 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
			refused++
			f.lab.record("book-lesson %s ran and was refused with %d", id, status)
		}
	}
	foreign := 0
	for _, wrong := range f.counts.wrong {
		if strings.Contains(wrong, "answer-to-") {
			foreign++
		}
	}
	f.lab.record("clients: %s", f.counts.summary())
	f.lab.record("answers 200 made for another request: %d; book-lesson run twice: %d; run and refused: %d", foreign, twice, refused)
	switch {
	case len(f.counts.wrong) > 0 || twice > 0 || refused > 0:
		return ruleBroken
	case f.counts.byStatus[http.StatusOK] == 0:
		return f.lab.cannotRun("no request was served")
	}
	return ruleHeld
}
