package policy

import (
	"math"
	"time"
)

const (
	beyondGain  = 0.05             // weight of one counted try in a share of tries beyond quotas
	evidences   = 10               // kinds of knowledge of a try, with repeats apart
	startBeyond = 0.3              // share of first tries taken to be beyond quotas at first
	placeBelow  = 0.8              // part of the largest request below which slices are all chance
	placeSpan   = 25 * time.Second // for which one number holds a customer's store
	placeLives  = time.Minute      // for which it is kept: also while the next one is in use
	placeLeast  = 0.2              // least weight of a try's worth at risk in its chance to call
	surplusMost = 0.25             // part of the burst by which a number may show more than a full store
	settleLeast = 1.0              // units by which a guess must be off for a call of its own
	lossLeast   = 0.5              // part of the burst that a number must lack to have lost counts
)

// reading is what the counter last told of a customer's store.
type reading struct {
	span  int64   // number of the span that total is of
	total float64 // the number then, this gateway's part of it included
	level float64 // units in the store
	room  bool    // it held the units of the try that asked
	at    Time    // when; 0: never
}

// small tells whether this gateway's part of the quota is too small for a slice.
func (c *customer) small() bool {
	largest := c.mostUnits
	if largest == 0 {
		largest = c.largest
	}
	return c.plan.Rate > 0 && c.quota() < placeBelow*largest*c.spread
}

// number is what the counter calls a customer's store in a span, and how long ago that began.
func (g *Gateway) number(c *customer, span int64) (name uint64, age time.Duration) {
	phase := Time(mix(c.key) % uint64(placeSpan))
	return mix(c.key^mix(^uint64(span))) >> 1, g.now - phase - Time(span)*placeSpan
}

// span is the number of a customer's running span.
func (g *Gateway) span(c *customer) int64 {
	return int64((g.now - Time(mix(c.key)%uint64(placeSpan))) / placeSpan)
}

// place decides a try of a customer of whose quota less than a few requests an interval fall to this gateway,
// where slices are all chance. By one call its units are added before it is sent on to what the customer's
// gateways took in this span, and the sum tells what is left in the quota's store, which carries over from
// interval to interval: what was not sent on is taken off again. What the counter cannot serve is drawn, by
// the worth at risk; tries that do not call are blind: they go by this gateway's part of the store and what
// became of the plan's counted tries. It could harm where the counter is slow to answer.
func (g *Gateway) place(r *request, beyond *[evidences]float64) {
	c := r.customer
	what := 0 // known: nothing, that the own part is empty, that it is not, that the store had room, or none
	switch known := c.store.at > 0; {
	case known && c.store.level+(g.now-c.store.at).Seconds()*c.plan.Rate < r.units-eps:
		g.decide(r, false) // the others can only have taken more
		return
	case known && c.store.room:
		what = 3
	case known:
		what = 4
	case c.level < r.units-eps:
		what = 1
	case c.seen:
		what = 2
	}
	c.seen = true
	if r.repeat {
		what += evidences / 2
	}
	// What a blind decision loses at most a unit of worth: what was let in beyond the quota, or refused.
	q, cost := beyond[what], c.plan.OverQuotaCost-c.plan.OverQuotaWeight
	worth := min(1-q, max(q*cost, shareLeast)) * r.units * r.kind.PriorityWeight * c.plan.PriorityWeight
	part := min(1, g.calling*max(worth/g.worth, placeLeast))
	g.worth += beyondGain * (worth - g.worth)
	ask := g.rng.Float64() < part
	hold := ask && g.now-g.stalledAt >= standstills && r.deadline-g.now > 2*g.set.CounterTimeout
	blind := func() {
		g.decide(r, 1-q > q*cost && (cost <= 0 || c.level >= r.units-eps) && c.mayPass(r.units))
	}
	if !hold {
		if blind(); !ask {
			return
		}
	}
	if hold { // the answer may come later than is good for the request
		g.wake(g.set.CounterTimeout, func() {
			if hold && !r.over {
				hold = false
				blind()
			}
		})
	}
	span, units := g.span(c), r.units/part
	name, _ := g.number(c, span)
	g.count(name, units, placeLives, func(e CounterReplied) {
		c.refill(g.now)
		held := hold && !r.over
		hold = false
		if e.Outcome != Succeeded {
			if held {
				blind()
			}
			return
		}
		level := g.readStore(c, span, e.Total-units)
		room := level >= r.units-eps
		c.store.room = room
		beyond[what] *= 1 - beyondGain
		if !room {
			beyond[what] += beyondGain
		}
		if held {
			g.vouched(r, room)
		}
		if room && len(r.attempts) > 0 { // it takes its units
			c.store.total, c.store.level = c.store.total+units, level-units
			r.held = true
			return
		}
		g.count(name, -units, placeLives, func(CounterReplied) {})
	})
}

// vouched decides a try by the store. The ceiling's share, which is kept for blind tries, does not bind it.
func (g *Gateway) vouched(r *request, room bool) {
	c := r.customer
	share := c.ceiling
	g.decide(r, room && c.mayOpen())
	c.ceiling = share
}

// readStore takes what the counter tells of a customer's store, before what was added by the call, and
// returns its level. It puts the number right where that shows more than a full store, lost counts or is new.
func (g *Gateway) readStore(c *customer, span int64, total float64) float64 {
	p := c.plan
	name, age := g.number(c, span)
	if lost := c.store.total - total; c.store.at > 0 && c.store.span == span &&
		lost > max(lossLeast*p.Burst, 2*c.largest) {
		g.count(name, lost, placeLives, func(CounterReplied) {})
		total += lost
	} else if math.Abs(total) < eps && age.Seconds()*p.Rate < p.Burst {
		g.carryOver(c, span)
	}
	level := p.Burst + age.Seconds()*p.Rate - total
	if surplus := level - p.Burst; surplus > surplusMost*p.Burst {
		g.count(name, surplus, placeLives, func(CounterReplied) {})
		total, level = total+surplus, p.Burst
	}
	c.store = reading{span: span, total: total, level: level, at: g.now}
	return level
}

// settle puts the store right by a placed request's true units, where the counter has calls to spare.
func (g *Gateway) settle(r *request, units float64) {
	c := r.customer
	if diff := units - r.units; r.held && math.Abs(diff) >= settleLeast && g.calling >= 1 {
		name, _ := g.number(c, g.span(c))
		c.store.total, c.store.level = c.store.total+diff, c.store.level-diff
		g.count(name, diff, placeLives, func(CounterReplied) {})
	}
}

// carryOver begins a new span with what the last one left in the store.
func (g *Gateway) carryOver(c *customer, span int64) {
	name, _ := g.number(c, span)
	last, age := g.number(c, span-1)
	full := c.plan.Burst + age.Seconds()*c.plan.Rate
	g.count(last, 0, placeLives, func(e CounterReplied) {
		if missing := c.plan.Burst - (full - e.Total); e.Outcome == Succeeded && e.Total > 0 && missing > eps {
			g.count(name, missing, placeLives, func(CounterReplied) {})
		}
	})
}
