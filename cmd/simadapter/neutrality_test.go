package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// The tests of this file play one simulated day against the adapter under settings and requests
// that differ only in values on which no decision may depend, and compare the replies.

const (
	playStep      = 20_000_000 // between two batches, nanoseconds
	playBatches   = 1000
	playServers   = 3
	playWork      = 60_000_000 // of one request at a server, nanoseconds
	counterAnswer = 2_000_000  // time of a counter call, nanoseconds
)

// variant is what differs between two plays.
type variant struct {
	aim, lateWorth, value, worthFactor, excessCost, overWorth, crossZone float64 // aim in nanoseconds
	markedShare                                                          float64 // of requests that are marked as retries
	ttl                                                                  int64   // of all requests, nanoseconds
}

var usualVariant = variant{aim: 6e8, lateWorth: 0.1, value: 1, worthFactor: 1, excessCost: 0.8, crossZone: 0.01, ttl: 2_000_000_000}

func (v variant) settings() string {
	class := func(name, effect string, value float64) string {
		return fmt.Sprintf(`{"name":%q,"effect":%q,"aim":%.0f,"deadline":2000000000,"lateWorth":%g,"value":%g}`, name, effect, v.aim, v.lateWorth, value)
	}
	plan := func(name string, refill, depth, worth float64) string {
		return fmt.Sprintf(`{"name":%q,"refill":%g,"depth":%g,"worthFactor":%g,"excessCost":%g,"overWorth":%g}`, name, refill, depth, worth, v.excessCost, v.overWorth)
	}
	return fmt.Sprintf(`{"nInstances":3,"rank":1,"locality":0,"localities":["x","y"],"classes":[%s,%s],"tiersOfService":[%s,%s],`+
		`"prices":{"crossZone":%g,"waste":%g,"lateFail":%g},"contract":{"coldFrom":0.2,"warmUp":9000000000,"fallMultiple":3,"overloadFor":1000000000},`+
		`"familyInfo":{"counter":true,"countWait":30000000,"mostUnits":2},`+
		`"limits":{"cancel":true,"maxAttempts":3,"maxRetryAfter":1000000000,"retryAfter":true,"secondCopies":true}}`,
		class("read", "repeatable", v.value), class("book", "once", 2), plan("small", 0.6, 2, v.worthFactor), plan("large", 9, 18, 2),
		v.crossZone, v.crossZone, v.crossZone)
}

// reply holds the fields of all reply lines that the play reads.
type reply struct {
	Name      string  `json:"msg"`
	RequestID string  `json:"xid"`
	Server    string  `json:"server"`
	Attempt   int     `json:"hop"`
	TryFor    int64   `json:"tryFor"`
	Span      int64   `json:"span"`
	Cookie    uint64  `json:"cookie"`
	EntryName uint64  `json:"entryName"`
	Units     float64 `json:"qty"`
}

// dueMessage is a message to the adapter at a time.
type dueMessage struct {
	at   int64
	text string
}

// play is one day against one adapter.
type play struct {
	variant  variant
	rng      *rand.Rand // of the traffic
	marks    *rand.Rand // of the marks, so that they do not change the traffic
	now      int64
	pending  []dueMessage
	busy     map[string]int64 // by server, when it has done its work
	attempts map[string]int   // by request
	ended    map[string]bool  // by attempt
	totals   map[uint64]float64
}

// run plays the day and returns the reply lines.
func (v variant) run(t *testing.T) []string {
	t.Helper()
	p := &play{variant: v, rng: rand.New(rand.NewPCG(1, 2)), marks: rand.New(rand.NewPCG(3, 4)), now: 1_000_000_000_000,
		busy: map[string]int64{}, attempts: map[string]int{}, ended: map[string]bool{}, totals: map[uint64]float64{}}
	in, toAdapter := io.Pipe()
	fromAdapter, out := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- run(in, out) }()
	replies := bufio.NewScanner(fromAdapter)
	var lines []string
	for batch := range playBatches {
		fmt.Fprintf(toAdapter, `{"msg":"Round","simTime":%d}`+"\n%s"+`{"msg":"Go"}`+"\n", p.now, p.batch(batch))
		for replies.Scan() && replies.Text() != `{"msg":"End"}` {
			lines = append(lines, replies.Text())
			p.handle(t, replies.Text())
		}
		p.now += playStep
	}
	toAdapter.Close()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	return lines
}

// batch returns the messages of one batch: those that are due and new requests.
func (p *play) batch(number int) string {
	if number == 0 {
		rows := ""
		for i := range playServers {
			rows += fmt.Sprintf(`,{"nominal":1,"server":"s:%d","zone":%d,"state":"SERVING"}`, i, i%2)
		}
		return fmt.Sprintf(`{"msg":"Start","nodeId":3,"entropy":5,"setup":%s}`+"\n"+`{"msg":"Inventory","page":0,"rows":[%s]}`+"\n"+
			`{"msg":"BackendsChanged","nodeId":3,"generation":1,"page":0,"scope":"Persisted"}`+"\n", p.variant.settings(), rows[1:])
	}
	text := ""
	slices.SortStableFunc(p.pending, func(a, b dueMessage) int { return int(a.at - b.at) })
	for len(p.pending) > 0 && p.pending[0].at <= p.now {
		text += p.pending[0].text
		p.pending = p.pending[1:]
	}
	requests := 1
	if number > playBatches/3 && number < playBatches*2/3 { // more than the servers can do
		requests = 3
	}
	for i := range requests {
		mark := ""
		if p.marks.Float64() < p.variant.markedShare {
			mark = `,"isRetry":true`
		}
		tenant := p.rng.IntN(12)
		text += fmt.Sprintf(`{"msg":"Accept","nodeId":3,"xid":"%016x","priority":%d,"terms":%d,"account":%d,"ttl":%d,"quotaUnits":%d,"spread":%d%s}`+"\n",
			number<<8|i, p.rng.IntN(2), tenant%2, tenant+1, p.variant.ttl, 1+p.rng.IntN(2), 3, mark)
	}
	return text
}

// handle schedules the messages that follow from a reply line.
func (p *play) handle(t *testing.T, line string) {
	t.Helper()
	var r reply
	if err := json.Unmarshal([]byte(line), &r); err != nil {
		t.Fatal(err)
	}
	switch r.Name {
	case "SetTimer":
		p.after(r.Span, fmt.Sprintf(`{"msg":"Reminder","nodeId":3,"cookie":%d}`, r.Cookie))
	case "Tally":
		p.totals[r.EntryName] += r.Units
		p.after(counterAnswer, fmt.Sprintf(`{"msg":"Sum","nodeId":3,"entryName":%d,"result":"pass","reading":%g}`, r.EntryName, p.totals[r.EntryName]))
	case "Dispatch":
		p.dispatch(&r)
	}
}

// dispatch queues an attempt at its server, which works on one at a time.
func (p *play) dispatch(r *reply) {
	number := p.attempts[r.RequestID]
	p.attempts[r.RequestID]++
	begin := max(p.busy[r.Server], p.now)
	p.busy[r.Server] = begin + playWork
	lag, result := begin+playWork-p.now, "pass"
	if timeout := r.TryFor; timeout == 0 && lag > p.variant.ttl || timeout > 0 && lag > timeout {
		lag, result = min(p.variant.ttl, max(timeout, 1)), "too_slow"
	}
	p.after(lag, fmt.Sprintf(`{"msg":"Response","nodeId":3,"xid":%q,"hop":%d,"server":%q,"result":%q,"lag":%d,"terminal":%t}`,
		r.RequestID, number, r.Server, result, lag, result == "pass"))
}

func (p *play) after(span int64, text string) {
	p.pending = append(p.pending, dueMessage{at: p.now + span, text: text + "\n"})
}

// Guards against decisions that follow from what an operator pays or earns, or from a mark, and not
// from the time and the quota that callers have.
func TestDecisionsIgnorePricesAimsAndMarks(t *testing.T) {
	usual := usualVariant.run(t)
	for name, change := range map[string]func(*variant){
		"three in ten requests marked as retries": func(v *variant) { v.markedShare = 0.3 },
		"all requests marked as retries":          func(v *variant) { v.markedShare = 1 },
		"half the aim":                            func(v *variant) { v.aim /= 2 },
		"twice the aim":                           func(v *variant) { v.aim *= 2 },
		"late answers worth half":                 func(v *variant) { v.lateWorth = 0.5 },
		"one class worth more":                    func(v *variant) { v.value = 5 },
		"one plan worth more":                     func(v *variant) { v.worthFactor = 3 },
		"no cost beyond the quota":                func(v *variant) { v.excessCost = 0 },
		"four times the cost beyond the quota":    func(v *variant) { v.excessCost *= 4 },
		"most of the worth beyond the quota":      func(v *variant) { v.overWorth = 0.9 },
		"dear attempts in other zones":            func(v *variant) { v.crossZone = 1 },
	} {
		changed := usualVariant
		change(&changed)
		if i, differ := firstDifference(usual, changed.run(t)); differ {
			t.Errorf("%s: reply line %d of %d differs", name, i, len(usual))
		}
	}
}

// Guards the test above against a day in which nothing is decided.
func TestDecisionsFollowTimeLeft(t *testing.T) {
	usual := usualVariant.run(t)
	for _, name := range []string{"Dispatch", "Busy", "Tally"} {
		if count := strings.Count(strings.Join(usual, "\n"), `"msg":"`+name+`"`); count < 50 {
			t.Errorf("the day has %d replies %s, want at least 50", count, name)
		}
	}
	changed := usualVariant
	changed.ttl /= 4
	if _, differ := firstDifference(usual, changed.run(t)); !differ {
		t.Error("a quarter of the time for each request changes no reply")
	}
}

// firstDifference returns the index of the first line that differs, if any does.
func firstDifference(a, b []string) (index int, differ bool) {
	for i := range max(len(a), len(b)) {
		if i >= len(a) || i >= len(b) || a[i] != b[i] {
			return i, true
		}
	}
	return 0, false
}
