package policy

import "time"

// The call rate grows slowly with answered calls and is cut at once by failed or late ones,
// as in congestion control: all gateways share one counter, and none of them sees the calls
// of the others.
const (
	callRateCut         = 0.8  // factor on the call rate for each failed or late call
	provenRateCut       = 0.93 // factor on the proven rate for each failed or late call
	callRateRecovery    = 1.25 // factor on a call rate well below the proven rate for each call answered in time
	callRateGrowth      = 1.01 // factor on a higher call rate for each call answered in time
	minCallRate         = 0.03 // least call rate; its calls find out when the counter has recovered
	maxCallRate         = 2.0  // greatest call rate; above 1, decisions with fewer units at risk also call
	lateReplyShare      = 0.4  // fraction of CounterTimeout after which a reply counts as late
	halfReportsBelow    = 0.5  // call rate below which only one interval in two is reported
	quarterReportsBelow = 0.25 // call rate below which only one interval in four is reported
)

// counterBudget limits the calls to the counter to what it can answer in time.
type counterBudget struct {
	callRate   float64 // share of the decisions that may call the counter; up to maxCallRate
	provenRate float64 // highest call rate at which calls were answered in time; cut by failed or late calls
}

func newCounterBudget() counterBudget { return counterBudget{callRate: 1, provenRate: 1} }

// allows reports whether a decision with this random number in [0,1) may call the counter.
func (b *counterBudget) allows(random float64) bool { return random <= b.callRate }

// unrestricted reports whether the counter has calls to spare.
func (b *counterBudget) unrestricted() bool { return b.callRate >= 1 }

// skipsInterval reports whether the report of a tenant's interval is omitted, as the counter
// cannot serve all calls.
func (b *counterBudget) skipsInterval(index int64) bool {
	return b.callRate < halfReportsBelow && index&1 != 0 || b.callRate < quarterReportsBelow && index&2 != 0
}

// decrease lowers the rates after a call that failed or was answered late.
func (b *counterBudget) decrease() {
	b.callRate = max(b.callRate*callRateCut, minCallRate)
	b.provenRate *= provenRateCut
}

// increase raises the call rate, and the proven rate with it, after a call that was answered
// in time.
func (b *counterBudget) increase() {
	if b.callRate < b.provenRate*callRateCut {
		b.callRate *= callRateRecovery
		return
	}
	b.callRate = min(b.callRate*callRateGrowth, maxCallRate)
	b.provenRate = max(b.provenRate, b.callRate)
}

// counterCall is a call to the counter that has not been answered yet.
type counterCall struct {
	startedAt Time
	onReply   func(CounterReplied)
}

// counterCalls holds the pending calls by key, the oldest first: replies for one key come
// in the order of its calls.
type counterCalls map[uint64][]counterCall

// add registers a call.
func (c counterCalls) add(key uint64, call counterCall) { c[key] = append(c[key], call) }

// popOldest removes and returns the oldest call for a key; ok is false if there is none.
func (c counterCalls) popOldest(key uint64) (call counterCall, ok bool) {
	queue := c[key]
	if len(queue) == 0 {
		return counterCall{}, false
	}
	if len(queue) == 1 {
		delete(c, key)
	} else {
		c[key] = queue[1:]
	}
	return queue[0], true
}

// addToCounter asks the counter service to add units to the total of a key, which it keeps
// for ttl. The reply is handed to onReply.
func (g *Gateway) addToCounter(key uint64, units float64, ttl time.Duration, onReply func(CounterReplied)) {
	g.counterCalls.add(key, counterCall{startedAt: g.now, onReply: onReply})
	g.emit(AddToCounter{Key: key, Units: units, TTL: ttl})
}

// counterReplied adapts the call rate to a reply and hands the reply to its call.
func (g *Gateway) counterReplied(reply CounterReplied) {
	call, ok := g.counterCalls.popOldest(reply.Key)
	if !ok {
		return
	}
	// A late reply indicates a queue at the counter, which only delays the calls of all gateways.
	isLate := g.now-call.startedAt > time.Duration(lateReplyShare*float64(g.settings.CounterTimeout))
	if reply.Outcome != Succeeded || isLate {
		g.counterBudget.decrease()
	} else {
		g.counterBudget.increase()
	}
	call.onReply(reply)
}

// neverAdded reports whether a failed call proves that the counter added nothing.
func (r CounterReplied) neverAdded() bool {
	return r.Outcome == Overloaded || r.Outcome == ConnectFailed
}

// ignoreReply is the callback of calls whose reply is not needed: if one fails, the units
// that it should have added are corrected later.
func ignoreReply(CounterReplied) {}
