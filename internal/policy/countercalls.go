package policy

import "time"

// The call rate grows slowly with answered calls and is cut at once by failed ones, as
// in congestion control: all gateways share one counter, and none of them sees what the
// others call.
const (
	callRateCut         = 0.8  // factor on the call rate for a failed or late call
	provenRateCut       = 0.93 // factor on the proven rate for the same
	callRateRecovery    = 1.25 // growth by one answered call while well below the proven rate
	callRateGrowth      = 1.01 // growth by one answered call from there on
	minCallRate         = 0.03 // the least call rate: it finds out when the counter is back
	maxCallRate         = 2.0  // the most; above 1 decisions with little at risk call too
	lateReplyShare      = 0.4  // part of CounterTimeout after which a reply tells of a queue at the counter
	halfReportsBelow    = 0.5  // call rate below which one interval in two is reported
	quarterReportsBelow = 0.25 // call rate below which it is one in four
)

// counterBudget limits the calls to the counter to what it can answer in time.
type counterBudget struct {
	rate       float64 // share of the decisions that may call the counter; up to maxCallRate
	provenRate float64 // the highest rate at which calls were answered well, fading with failures
}

func newCounterBudget() counterBudget { return counterBudget{rate: 1, provenRate: 1} }

// allows reports whether a decision with this random number in [0,1) may call the counter.
func (b *counterBudget) allows(random float64) bool { return random <= b.rate }

// unrestricted reports whether the counter has calls to spare.
func (b *counterBudget) unrestricted() bool { return b.rate >= 1 }

// skipsInterval reports whether a tenant's interval is not reported: a counter that
// gets more calls than it can serve helps nobody.
func (b *counterBudget) skipsInterval(index int64) bool {
	return b.rate < halfReportsBelow && index&1 != 0 || b.rate < quarterReportsBelow && index&2 != 0
}

// decrease takes a call into account that failed or was answered late.
func (b *counterBudget) decrease() {
	b.rate = max(b.rate*callRateCut, minCallRate)
	b.provenRate *= provenRateCut
}

// increase takes a call into account that was answered in time.
func (b *counterBudget) increase() {
	if b.rate < b.provenRate*callRateCut {
		b.rate *= callRateRecovery
		return
	}
	b.rate = min(b.rate*callRateGrowth, maxCallRate)
	b.provenRate = max(b.provenRate, b.rate)
}

// counterCall is a call to the counter that has not been answered yet.
type counterCall struct {
	startedAt Time
	onReply   func(CounterReplied)
}

// counterCalls are the calls under way by key, the oldest first: replies for one key
// come in the order of its calls.
type counterCalls map[uint64][]counterCall

// add registers a call.
func (c counterCalls) add(key uint64, call counterCall) { c[key] = append(c[key], call) }

// popOldest returns the oldest call for a key and forgets it; ok is false if there is none.
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

// addToCounter adds units to a number of the counter service, which it keeps for ttl,
// and hands the reply to onReply.
func (g *Gateway) addToCounter(key uint64, units float64, ttl time.Duration, onReply func(CounterReplied)) {
	g.counterCalls.add(key, counterCall{startedAt: g.now, onReply: onReply})
	g.emit(AddToCounter{Key: key, Units: units, TTL: ttl})
}

// counterReplied adapts the budget to a reply and hands it to the call that it answers.
func (g *Gateway) counterReplied(reply CounterReplied) {
	call, ok := g.counterCalls.popOldest(reply.Key)
	if !ok {
		return
	}
	// A late reply tells of a queue at the counter, in which the calls of all gateways wait for nothing.
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

// ignoreReply is for calls that need no reply: what a lost one adds is made up for later.
func ignoreReply(CounterReplied) {}
