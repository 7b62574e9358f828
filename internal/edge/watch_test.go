package edge

import (
	"fmt"
	"testing"
	"time"

	"swiftpitch/internal/testclock"
)

// The tests of this file play a whole fleet's calls to discovery in simulated time.

const (
	watchFleet = 300
	// watchEachCall is what a call costs the asked service, which thus needs two thirds of
	// toldAfter for the fleet. Half as many calls a second could not tell all in time,
	// however they were spread.
	watchEachCall = 13 * time.Millisecond
	// watchLine is how long a call waits in its line before it is turned away, where it is:
	// one that works on calls that nobody waits for any more never gets to the others.
	watchLine     = 2 * time.Second
	watchLineLong = time.Hour
	carriesOn     = 200 * time.Millisecond // a watch goes on if the next call comes by then
)

// serviceState is what becomes of the calls.
type serviceState int

const (
	serviceUp serviceState = iota
	serviceRefuses
	serviceSilent
	serviceBusy // turns all calls away
)

// service is discovery: one that works on the calls of all nodes in turn, on those that
// nobody waits for any more as well, or an agent that answers each node at once.
type service struct {
	*testclock.Clock
	addr       string
	each, most time.Duration // for a call; what would wait longer is turned away after that
	state      serviceState
	idleAt     time.Duration // when all that is in its line is done
	longest    time.Duration // that a call has waited
	generation int64
	watches    []*watchCall // in the order in which they came
}

// watchCall is one call of a node.
type watchCall struct {
	asker    *asker
	token    int
	index    int64
	whole    bool
	answered bool
}

// change is news.
func (s *service) change() int64 {
	s.generation++
	watches := s.watches
	s.watches = nil
	for _, c := range watches {
		s.answer(c)
	}
	return s.generation
}

// become changes what becomes of calls. Open watches hang.
func (s *service) become(state serviceState) {
	s.state, s.watches = state, nil
}

func (s *service) line() time.Duration { return max(s.idleAt-s.Now, 0) }

// take takes a call that is to be held for a while.
func (s *service) take(c *watchCall, carriesOn bool, held time.Duration) {
	switch {
	case s.state == serviceSilent:
		return
	case s.state != serviceUp:
		s.After(0, func() { c.asker.fail(c) })
		return
	case carriesOn:
		s.hold(c, held)
		return
	case s.line() > s.most:
		s.After(s.most, func() { c.asker.fail(c) })
		return
	}
	s.idleAt = max(s.idleAt, s.Now) + s.each
	s.longest = max(s.longest, s.line())
	s.After(s.line(), func() {
		if s.state == serviceUp {
			s.hold(c, held)
		}
	})
}

func (s *service) hold(c *watchCall, held time.Duration) {
	if c.whole || s.generation > c.index || held <= time.Millisecond {
		s.answer(c)
		return
	}
	s.watches = append(s.watches, c)
	s.After(held, func() {
		for i, w := range s.watches {
			if w == c {
				s.watches = append(s.watches[:i:i], s.watches[i+1:]...)
				s.answer(c)
				return
			}
		}
	})
}

func (s *service) answer(c *watchCall) { c.asker.take(c, s.addr, s.generation) }

// asker is a node of which only the calls to discovery are played.
type asker struct {
	*testclock.Clock
	plan     *watchPlan
	services map[string]*service
	addr     string
	token    int // of what it waits for: a call or a pause
	began    time.Duration
	last     time.Duration // when a call was answered
	ready    bool
	told     map[string]time.Duration // when it was told of a change, by address and version
	calls    int
}

func (a *asker) step() {
	a.token++
	token := a.token
	if wait := a.plan.call(a.addr); wait > 0 {
		a.pause(wait)
		return
	}
	a.calls++
	a.began = a.Now
	c := &watchCall{asker: a, token: token, index: a.plan.index, whole: a.plan.whole}
	a.After(a.plan.patience, func() { a.fail(c) })
	a.services[a.addr].take(c, a.Now-a.last <= carriesOn, a.plan.held)
}

func (a *asker) pause(d time.Duration) {
	a.token++
	token := a.token
	a.After(d, func() {
		if token == a.token {
			a.step()
		}
	})
}

func (a *asker) fail(c *watchCall) {
	if c.token == a.token {
		a.last = -carriesOn - 1 // another connection, another watch
		a.pause(a.plan.failed(a.Now - a.began))
	}
}

func (a *asker) take(c *watchCall, addr string, generation int64) {
	if c.token != a.token {
		return // nobody waits for it
	}
	a.last, a.ready = a.Now, true
	for g := c.index + 1; g <= generation; g++ {
		a.told[fmt.Sprint(addr, g)] = a.Now
	}
	if c.whole {
		a.told[fmt.Sprint(addr, generation)] = a.Now
	}
	a.plan.answered(generation)
	a.step()
}

// move takes the node to another address, whatever it waits for.
func (a *asker) move(addr string) {
	a.addr = addr
	a.plan.failed(a.Now - a.began) // the call is called off
	a.pause(0)
}

// watchWorld is a fleet before its discovery, and another one to which it may move.
type watchWorld struct {
	testclock.Clock
	before, after *service
	fleet         []*asker
}

// newWatchWorld starts nodes that know of version 1 of the list, or of nothing.
func newWatchWorld(t *testing.T, mode string, line time.Duration, known bool, state serviceState) *watchWorld {
	t.Helper()
	w := &watchWorld{}
	w.before = &service{Clock: &w.Clock, addr: "before", most: line, generation: 1, state: state}
	w.after = &service{Clock: &w.Clock, addr: "after", most: line, generation: 1}
	if mode == "ask" {
		w.before.each, w.after.each = watchEachCall, watchEachCall
	}
	services := map[string]*service{"before": w.before, "after": w.after}
	set := testConfig(t).Settings
	set.Gateways, set.DiscoveryMode, set.Rules.SubscriptionTimeout = watchFleet, mode, 10*time.Second
	var list List
	if known {
		list = List{Generation: 1, Instances: []Instance{{ID: "s-0", Lifecycle: "SERVING"}}}
	}
	for i := range uint64(watchFleet) {
		a := &asker{Clock: &w.Clock, plan: newWatchPlan(newWatchTimes(set), i, list), services: services, addr: "before",
			last: -carriesOn - 1, told: map[string]time.Duration{}}
		w.fleet = append(w.fleet, a)
		a.pause(0)
	}
	return w
}

var watchVariants = []struct {
	name, mode string
	line       time.Duration
}{
	{"push", "push", watchLine},
	{"ask", "ask", watchLine},
	{"ask, long line", "ask", watchLineLong},
}

// untold is how many nodes were told of a version later than toldAfter past since, or not
// at all, and how long the last one took.
func (w *watchWorld) untold(addr string, generation int64, since time.Duration) (late int, longest time.Duration) {
	for _, a := range w.fleet {
		at, ok := a.told[fmt.Sprint(addr, generation)]
		if !ok {
			at = w.Now
		}
		if !ok || at-since > toldAfter {
			late++
		}
		longest = max(longest, at-since)
	}
	return late, longest
}

// Guards the drains and starts of which a large fleet learns: whatever became of the calls
// before, each node is told of a change within toldAfter of the moment in which discovery
// had it and could be reached, and 300 nodes that failed together leave no line standing
// at a service of fixed capacity.
func TestFleetIsToldInTime(t *testing.T) {
	const down = 22 * time.Second
	outage := func(state serviceState, lasts time.Duration) func(*watchWorld) (string, int64) {
		return func(w *watchWorld) (string, int64) {
			w.before.become(state)
			w.Run(lasts)
			w.before.become(serviceUp)
			return "before", w.before.change()
		}
	}
	moves := func(w *watchWorld) (string, int64) {
		for _, a := range w.fleet {
			a.move("after")
		}
		return "after", 1
	}
	events := []struct {
		name  string
		event func(*watchWorld) (string, int64) // returns the version of which it is time to be told
	}{
		{"steady", func(w *watchWorld) (string, int64) { return "before", w.before.change() }},
		{"silence", outage(serviceUp, 0)},
		{"silence in step", func(w *watchWorld) (string, int64) {
			w.before.change() // all watches begin anew
			w.Run(100 * time.Millisecond)
			w.before.become(serviceUp)
			return "before", w.before.change()
		}},
		{"refusal", outage(serviceRefuses, down)},
		{"short refusal", outage(serviceRefuses, time.Second)},
		{"hung calls", outage(serviceSilent, down)},
		{"hung calls, short", outage(serviceSilent, 7*time.Second)},
		{"calls turned away", outage(serviceBusy, down)},
		{"move", moves},
		{"move while hung", func(w *watchWorld) (string, int64) {
			w.before.become(serviceSilent)
			w.Run(down)
			return moves(w)
		}},
	}
	for _, v := range watchVariants {
		for _, e := range events {
			t.Run(v.name+"/"+e.name, func(t *testing.T) {
				w := newWatchWorld(t, v.mode, v.line, true, serviceUp)
				w.before.change() // which the nodes do not know of
				w.Run(2 * toldAfter)
				late, longest := w.untold("before", 2, 0)
				if late > 0 {
					t.Errorf("start: %d nodes are told late, the last after %v", late, longest)
				}
				addr, generation := e.event(w)
				since := w.Now
				w.Run(2 * toldAfter)
				late, longest = w.untold(addr, generation, since)
				if late > 0 {
					t.Errorf("%d nodes are told late, the last after %v", late, longest)
				}
				if line := max(w.before.line(), w.after.line()); line > 0 {
					t.Errorf("a line of %v stands %v later", line, 2*toldAfter)
				}
				t.Logf("the last node is told after %v, the longest line was %v", longest, max(w.before.longest, w.after.longest))
			})
		}
	}
}

// Guards a fleet whose processes are restarted together: nine in ten are ready within 10 s,
// with nothing known or an old list, with discovery that must be asked and is crowded by
// the others, or that is down at the start: then who knows of no app server is ready within
// toldAfter of its return.
func TestRestartedFleetIsReady(t *testing.T) {
	const within, share = 10 * time.Second, 0.9
	for _, v := range watchVariants {
		for _, known := range []bool{false, true} {
			for _, down := range []time.Duration{0, 3 * time.Second, 20 * time.Second} {
				t.Run(fmt.Sprintf("%s/known %v/down %v", v.name, known, down), func(t *testing.T) {
					state := serviceUp
					if down > 0 {
						state = serviceSilent
					}
					w := newWatchWorld(t, v.mode, v.line, known, state)
					w.Run(down)
					w.before.become(serviceUp)
					w.Run(max(within-down, toldAfter))
					answered, ready := 0, 0
					for _, a := range w.fleet {
						if a.ready {
							answered++
						}
						if a.ready || known { // who knows of app servers is ready at once
							ready++
						}
					}
					if float64(ready) < share*watchFleet {
						t.Errorf("%d of %d nodes are ready", ready, watchFleet)
					}
					if answered < watchFleet {
						t.Errorf("%d of %d nodes have a list of their own", answered, watchFleet)
					}
				})
			}
		}
	}
}
