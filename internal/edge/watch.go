package edge

import (
	"math/rand/v2"
	"time"

	"swiftpitch/internal/backoff"
	"swiftpitch/internal/config"
)

const (
	// toldAfter is how long after discovery had a change and could be reached it counts as
	// told, whatever became of the calls meanwhile. What a node spends on a call that fails,
	// on the wait after it and on the next call has to fit.
	toldAfter = 6 * time.Second

	pollHold = time.Millisecond // a call after a failed one is not held: a hung one would cost the hold as well

	// Where news are pushed, they are with an agent on this machine, whose answers cost
	// nothing, and count as told from then on, with or without a watch. So a new process
	// asks at once, and after a failed call the wait is a part of the time for which a
	// server that drains may still be sent to.
	pushedHold   = 4 * time.Second        // how long the agent may hold a watch
	pushedAnswer = time.Second            // past that, or asked for no watch, it is silent
	pushedStep   = 100 * time.Millisecond // the first step of the waits, at most
	pushedLeast  = 4                      // and the drain grace over this, at most
	pushedMost   = 2                      // the longest one is the grace over this, at most
	pushedSteps  = 4                      // and by this longer than the first
	pushedFloor  = 10 * time.Millisecond  // but no step is shorter: an agent that is down is not called without end

	// Where discovery must be asked, it is one service for the whole fleet and works on
	// calls in turn, also on those that nobody waits for any more, and turns away what has
	// waited too long. Nodes that start, move or fail together spread their calls over a
	// time for each node of the fleet; after that each calls once in a period that hardly
	// varies, so that they stay spread, and a node asks again soon enough however often it
	// failed. A service that answers the fleet once in two thirds of toldAfter keeps no
	// standing line.
	askedEach   = 80 * time.Millisecond   // between two nodes' first calls, in the mean
	askedSpread = 3500 * time.Millisecond // over which those go at most: after SIGHUP news count as told in 4 s
	askedSteps  = 4                       // by which the period is longer than the spread
	askedEvery  = 4 * time.Second         // the longest period, from call to call
	askedJitter = 0.15                    // random part of the period
	askedAnswer = 1800 * time.Millisecond // what the waits leave of toldAfter for an answer, its way and its use
	// A call is given up later than that: no period is longer for it, the service works on
	// it all the same, and early in a spread there is time for a longer line.
	askedPatience = 2500 * time.Millisecond
	watchStream   = 0x646973636f // keeps these random numbers apart from others of the seed

	// There, watches that fall silent together are found so at times of their own, as each
	// is held for a time of its own: to carry on with a watch costs the service nothing.
	askedHold     = 2 * time.Second        // the longest that a watch is held
	askedShortest = 0.2                    // the least, as a part of that
	askedSlack    = 500 * time.Millisecond // past the hold, a watch is silent
)

// watchTimes are those of the calls to discovery.
type watchTimes struct {
	asked       bool          // discovery is one service for all nodes
	hold, slack time.Duration // it may hold a watch for so long, and has fallen silent this much later
	answer      time.Duration // a call that is not held has failed after this
	spread      time.Duration // over which nodes that start, move or fail together begin to call
	every       time.Duration // asked: from the beginning of a failed call to that of the next
	least, most time.Duration // pushed: the steps of the waits after failed calls
}

func newWatchTimes(set *config.Settings) watchTimes {
	if set.DiscoveryMode == "ask" {
		spread := min(time.Duration(set.Gateways)*askedEach, askedSpread)
		return watchTimes{asked: true, hold: askedHold, slack: askedSlack, answer: askedPatience,
			spread: spread, every: min(askedSteps*spread, askedEvery)}
	}
	grace := set.Rules.DrainGrace
	w := watchTimes{hold: pushedHold, slack: pushedAnswer, answer: pushedAnswer}
	w.least = max(min(pushedStep, grace/pushedLeast), pushedFloor)
	w.most = max(min(pushedSteps*w.least, grace/pushedMost), w.least)
	return w
}

// watchPlan decides when a node calls discovery, for what, and when it gives a call up. It
// knows neither sockets nor a clock.
type watchPlan struct {
	watchTimes
	rng    *rand.Rand
	pushed backoff.Backoff
	addr   string // where the last call went
	index  int64  // version of the list
	known  bool   // there is one
	worked bool   // the call before was answered

	whole          bool // the next call is for the whole list, else for what changed
	held, patience time.Duration
}

// newWatchPlan begins with a list as it was known. Its version is known too: a watch from
// there brings what was missed.
func newWatchPlan(times watchTimes, seed uint64, known List) *watchPlan {
	rng := rand.New(rand.NewPCG(seed, watchStream))
	return &watchPlan{watchTimes: times, rng: rng, index: known.Generation, known: len(known.Instances) > 0,
		pushed: backoff.Backoff{Min: times.least, Max: times.most, Rand: rng}}
}

// call prepares the next call to addr, or returns the time to wait before.
func (p *watchPlan) call(addr string) (wait time.Duration) {
	if addr != p.addr {
		if p.addr != "" { // another agent: its versions start anew
			p.known = false
		}
		p.addr, p.worked = addr, false
		p.pushed.Reset()
		if p.asked {
			return time.Duration(p.rng.Float64() * float64(p.spread))
		}
	}
	p.whole, p.held, p.patience = !p.known, pollHold, p.answer
	if p.worked {
		p.held = p.draw()
		p.patience = p.held + p.slack
	}
	return 0
}

// draw returns how long discovery may hold the next watch.
func (p *watchPlan) draw() time.Duration {
	if !p.asked {
		return p.hold
	}
	return time.Duration((askedShortest + (1-askedShortest)*p.rng.Float64()) * float64(p.hold))
}

// answered takes the version that the call brought.
func (p *watchPlan) answered(generation int64) {
	p.index, p.known, p.worked = generation, true, true
	p.pushed.Reset()
}

// failed returns the wait after a call that took so long and brought nothing.
func (p *watchPlan) failed(took time.Duration) time.Duration {
	first := p.worked
	p.worked = false
	switch {
	case !p.asked:
		return p.pushed.Next()
	case first: // nodes often fail together; here with what is left of the time since the call began
		return time.Duration(p.rng.Float64() * float64(max(min(p.spread, toldAfter-askedAnswer-took), 0)))
	}
	return max(time.Duration((1-askedJitter*p.rng.Float64())*float64(p.every))-took, 0)
}
