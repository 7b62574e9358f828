package edge

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// eventReportInterval is how often the counts of events are logged, if there were any.
const eventReportInterval = 10 * time.Second

// requestEvent is a reason for which a request or an attempt did not take its usual course.
type requestEvent int

// The request events.
const (
	eventMalformed        requestEvent = iota // answered with 400
	eventDuplicateID                          // refused for the ID of an open request, or of one that may have run
	eventOutOfMemory                          // rejected because its body does not fit the memory budget
	eventNoTime                               // rejected because no attempt would end in time
	eventUnverifiedClient                     // rejected because it is not known whether the client is connected
	eventRejectedAtEnd                        // rejected because the process is about to end
	eventExpired                              // answered shortly before its deadline, without a decision of the policy
	eventClientLeft                           // ended by its client's disconnect
	eventNotAccepted                          // dropped when it was read, as its client had left or its connection was closed
	eventAttemptWithheld                      // an attempt did not begin because its client had left or is unverified
	eventAnswerWaited                         // an answer had to wait for memory
	requestEvents                             // number of events
)

// requestEventNames are the names of the events in the log.
var requestEventNames = [requestEvents]string{
	eventMalformed:        "malformed",
	eventDuplicateID:      "duplicate_id",
	eventOutOfMemory:      "out_of_memory",
	eventNoTime:           "no_time",
	eventUnverifiedClient: "unverified_client",
	eventRejectedAtEnd:    "rejected_at_end",
	eventExpired:          "expired",
	eventClientLeft:       "client_left",
	eventNotAccepted:      "not_accepted",
	eventAttemptWithheld:  "attempt_withheld",
	eventAnswerWaited:     "answer_waited",
}

// eventCount is the number of events of one kind since the last report.
type eventCount struct {
	count  int
	lastID string // ID of the last request concerned; empty: not known
}

// eventLog counts request events and logs the counts, so that a client that causes very many does
// not fill the log. Its methods may be called from any goroutine.
type eventLog struct {
	mu     sync.Mutex
	counts [requestEvents]eventCount
}

// record counts one event of the request with an ID, which may be empty.
func (l *eventLog) record(event requestEvent, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[event].count++
	if id != "" {
		l.counts[event].lastID = id
	}
}

// take returns the attributes of a report, which are empty if there were no events, and resets the
// counts.
func (l *eventLog) take() []slog.Attr {
	l.mu.Lock()
	defer l.mu.Unlock()
	var attrs []slog.Attr
	for event, counted := range l.counts {
		if counted.count > 0 {
			attrs = append(attrs, slog.Group(requestEventNames[event], "count", counted.count, "last_id", counted.lastID))
		}
	}
	l.counts = [requestEvents]eventCount{}
	return attrs
}

// report logs the counts since the last report, if there were any events.
func (l *eventLog) report(log *slog.Logger) {
	if attrs := l.take(); len(attrs) > 0 {
		log.LogAttrs(context.Background(), slog.LevelInfo, "request events", attrs...)
	}
}

// reportEvents logs the request events regularly until the node stops, and once more then. It runs
// in its own goroutine.
func (n *Node) reportEvents() {
	ticker := time.NewTicker(eventReportInterval)
	defer ticker.Stop()
	for running := true; running; {
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			running = false
		}
		n.requestEvents.report(n.log)
	}
}
