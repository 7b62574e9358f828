package policy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"swiftpitch/internal/policy"
	"swiftpitch/internal/testclock"
)

// The tests of this file count what a whole fleet sends to servers that have just started.

const (
	coldServers  = 30
	coldCapacity = 12.0 // requests of mean work that a warm server does in a second
	coldAt       = 8 * time.Second
	coldEnd      = coldAt + 10*time.Second
	coldTrip     = 2 * ms // one way between gateways and servers
	coldRoom     = 60     // requests that wait at a server; more are turned away
)

// world is a fleet before its servers, in simulated time.
type world struct {
	testclock.Clock
	t       *testing.T
	rng     *rand.Rand
	set     policy.Settings
	rigs    []*gateway
	weights []float64 // of the traffic, added up, by gateway
	servers map[string]*backend
	order   []*backend
	tries   int
	again   bool // clients repeat at once what is refused
	served  int
}

// backend is a server that works on its requests in turn, as fast as it is warm. What is
// not begun in its time is not begun at all.
type backend struct {
	policy.Endpoint
	w       *world
	lost    bool
	idleAt  time.Duration
	waiting int
	busy    float64 // share of the time that it works
	busyAt  time.Duration
	got     []time.Duration // when requests came that count for the rule on cold servers
}

// warmth is the part of its capacity that a server has at some time.
func (b *backend) warmth(at time.Duration) float64 {
	if b.StartedAt == 0 || at >= b.StartedAt+b.w.set.SlowStartDuration {
		return 1
	}
	return b.w.set.SlowStartCapacity + (1-b.w.set.SlowStartCapacity)*max((at-b.StartedAt).Seconds(), 0)/b.w.set.SlowStartDuration.Seconds()
}

// gateway is one of the fleet.
type gateway struct {
	w    *world
	g    *policy.Gateway
	life int // lives before this one
	open map[string]*clientTry
}

// clientTry is one client's try.
type clientTry struct {
	id      string
	left    int // times that the client will ask again
	until   time.Duration
	sent    []time.Duration
	servers []string
	ended   []bool
	over    bool
}

func (r *gateway) step(ev policy.Event) {
	life := r.life
	for _, a := range r.g.Step(r.w.Now, ev, nil) {
		switch a := a.(type) {
		case policy.StartTimer:
			r.w.After(a.After, func() {
				if r.life == life {
					r.step(policy.TimerFired{TimerID: a.TimerID})
				}
			})
		case policy.AddToCounter: // nobody else asks for this customer's units
			r.w.After(ms, func() {
				if r.life == life {
					r.step(policy.CounterReplied{Key: a.Key, Total: max(a.Units, 0)})
				}
			})
		case policy.StartAttempt:
			r.send(a)
		case policy.Reject:
			r.final(a.RequestID, false)
		case policy.Fail:
			r.final(a.RequestID, false)
		case policy.CancelAttempt:
			if q := r.open[a.RequestID]; q != nil {
				r.end(q, a.Attempt, policy.Canceled, 0)
			}
		}
	}
}

// final takes a request's answer. A client that is turned away may ask again at once.
func (r *gateway) final(id string, served bool) {
	q := r.open[id]
	if q == nil || q.over {
		return
	}
	q.over = true
	if served {
		r.w.served++
	} else if q.left > 0 {
		r.w.After(coldTrip, func() { r.w.arrive(q.left - 1) })
	}
}

func (r *gateway) end(q *clientTry, k int, o policy.Outcome, busy float64) {
	if q.ended[k] {
		return
	}
	q.ended[k] = true
	if o == policy.Succeeded {
		r.final(q.id, true)
	}
	r.step(policy.AttemptEnded{RequestID: q.id, Attempt: k, Endpoint: q.servers[k], Outcome: o, Latency: r.w.Now - q.sent[k], RequestDone: q.over,
		Report: policy.LoadReport{Utilization: &busy}})
}

func (r *gateway) send(a policy.StartAttempt) {
	w, q, b := r.w, r.open[a.RequestID], r.w.servers[a.Endpoint]
	k := len(q.sent)
	q.sent, q.servers, q.ended = append(q.sent, w.Now), append(q.servers, a.Endpoint), append(q.ended, false)
	until := q.until
	if a.Timeout > 0 {
		until = min(until, w.Now+a.Timeout)
	}
	life := r.life
	end := func(o policy.Outcome) {
		if r.life == life {
			r.end(q, k, o, b.busy)
		}
	}
	w.After(until-w.Now, func() { end(policy.TimedOut) })
	w.After(coldTrip, func() {
		if b.lost {
			return
		}
		b.got = append(b.got, w.Now)
		if b.waiting >= coldRoom {
			w.After(coldTrip, func() { end(policy.Overloaded) })
			return
		}
		b.waiting++
		begin := max(b.idleAt, w.Now)
		if begin >= until { // its time will be over
			w.After(begin-w.Now, func() { b.waiting-- })
			return
		}
		work := time.Duration(w.rng.ExpFloat64() / (coldCapacity * b.warmth(begin)) * float64(time.Second))
		b.idleAt = begin + work
		w.After(b.idleAt-w.Now, func() {
			b.waiting--
			fade := math.Exp(-(w.Now - b.busyAt).Seconds())
			b.busy, b.busyAt = min(b.busy*fade+work.Seconds(), 1), w.Now
			if !b.lost {
				w.After(coldTrip, func() { end(policy.Succeeded) })
			}
		})
	})
}

// arrive brings a client's try to a gateway by the weights of the traffic.
func (w *world) arrive(left int) {
	at := w.rng.Float64() * w.weights[len(w.weights)-1]
	i, _ := slices.BinarySearch(w.weights, at)
	r := w.rigs[i]
	w.tries++
	life := r.life
	q := &clientTry{id: fmt.Sprintf("%016x", w.tries), left: left, until: w.Now + 2500*ms}
	r.open[q.id] = q
	w.After(2500*ms, func() {
		if r.life == life && !q.over {
			q.over = true
			r.step(policy.ClientDisconnected{RequestID: q.id})
		}
		w.After(time.Second, func() { delete(r.open, q.id) })
	})
	r.step(policy.RequestReceived{RequestID: q.id, Plan: 1, Tenant: uint64(i)<<8 | uint64(w.tries%5), Timeout: 2500 * ms, Units: 1, TenantGateways: 1})
}

// offer brings tries, rate a second, until a time.
func (w *world) offer(rate float64, until time.Duration, left int) {
	gap := time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
	if w.Now+gap < until {
		w.After(gap, func() {
			w.arrive(left)
			w.offer(rate, until, left)
		})
	}
}

// tell hands news of servers to all gateways, each up to a second late.
func (w *world) tell(scope policy.UpdateScope, servers ...policy.Endpoint) {
	for _, r := range w.rigs {
		life := r.life
		w.After(time.Duration(w.rng.Float64()*float64(time.Second)), func() {
			if r.life == life {
				r.step(policy.EndpointsUpdated{Scope: scope, Endpoints: servers})
			}
		})
	}
}

// list is the whole list as it is.
func (w *world) list() (list []policy.Endpoint) {
	for _, b := range w.order {
		if b.State == policy.Serving && !b.lost {
			list = append(list, b.Endpoint)
		}
	}
	return list
}

// add starts a server.
func (w *world) add(id string, born time.Duration) policy.Endpoint {
	b := &backend{w: w, Endpoint: policy.Endpoint{ID: id, Weight: 1, StartedAt: born, Zone: len(w.order) % 3}}
	w.servers[id], w.order = b, append(w.order, b)
	return b.Endpoint
}

// restart gives a server's id a new process.
func (w *world) restart(b *backend) policy.Endpoint {
	b.lost, b.StartedAt, b.idleAt, b.got, b.State = false, w.Now, w.Now, nil, policy.Serving
	return b.Endpoint
}

// start gives a gateway a new life.
func (r *gateway) start(rank int) {
	set := r.w.set
	set.GatewayIndex, set.Seed = rank, uint64(rank+1000*r.life+1)
	g, err := policy.New(r.w.Now, set)
	if err != nil {
		r.w.t.Fatal(err)
	}
	r.life++
	r.g, r.open = g, map[string]*clientTry{}
	r.step(policy.EndpointsUpdated{Scope: policy.CachedUpdate, Endpoints: r.w.list()})
}

// nearest is the nearest approach of any cold server to its bound: the requests that came
// in a time of the settings' length over N + 2 x root of N + 2, where N is what the settings
// allow by its capacity when that time begins.
func (w *world) nearest() (most float64) {
	span := w.set.OverloadDuration
	for _, b := range w.order {
		if b.StartedAt == 0 {
			continue
		}
		first := 0
		for i, at := range b.got {
			for b.got[first] <= at-span {
				first++
			}
			begin := max(at-span, b.StartedAt)
			if b.warmth(begin) >= 1 {
				break
			}
			n := w.set.OverloadMultiple * b.warmth(begin) * coldCapacity * span.Seconds()
			most = max(most, float64(i-first+1)/(n+2*math.Sqrt(n)+2))
		}
	}
	return most
}

func newWorld(t *testing.T, gateways int, uneven bool) *world {
	t.Helper()
	set := settings()
	set.Gateways, set.Classes = gateways, []policy.Class{{LatencyObjective: time.Second, Deadline: 2500 * ms, Idempotency: policy.Idempotent, PriorityWeight: 1}}
	set.Plans[1] = policy.Plan{Rate: 1e5, Burst: 1e6, PriorityWeight: 1} // quotas are not what this is about
	set.SlowStartCapacity, set.SlowStartDuration, set.OverloadMultiple, set.OverloadDuration = 0.27, 18*time.Second, 2.5, 3*time.Second
	set.MaxAttempts = 4
	w := &world{t: t, rng: rand.New(rand.NewPCG(uint64(gateways), 21)), set: set, servers: map[string]*backend{}}
	for i := range coldServers {
		w.add(fmt.Sprint("s", i), 0)
	}
	sum := 0.0
	for i := range gateways {
		weight := 1.0
		if uneven && i%8 == 0 {
			weight = 6 // four times the mean
		}
		sum += weight
		w.weights = append(w.weights, sum)
		r := &gateway{w: w}
		w.rigs = append(w.rigs, r)
		r.start(i)
	}
	return w
}

// Guards cold servers against the sum of what all gateways send them, each of which sees
// little: in no time of the settings' length does one get more than it bears.
func TestFleetNeverPushesAColdServerOver(t *testing.T) {
	const usual = 0.6 * coldServers * coldCapacity
	join := func(w *world, k int) {
		var news []policy.Endpoint
		for i := range k {
			news = append(news, w.add(fmt.Sprint("new", i), w.Now))
		}
		w.tell(policy.IncrementalUpdate, news...)
	}
	lose := func(w *world, each func(int) bool) (gone []*backend) {
		var news []policy.Endpoint
		for i, b := range w.order {
			if each(i) {
				b.lost, b.State = true, policy.Removed
				gone, news = append(gone, b), append(news, b.Endpoint)
			}
		}
		w.After(2*time.Second, func() { w.tell(policy.IncrementalUpdate, news...) })
		return gone
	}
	back := func(w *world, gone []*backend) {
		var news []policy.Endpoint
		for _, b := range gone {
			news = append(news, w.restart(b))
		}
		w.tell(policy.IncrementalUpdate, news...)
	}
	for _, c := range []struct {
		name  string
		rate  float64
		left  int  // times that a client asks again at once
		large bool // played with the size to design for as well
		event func(w *world)
	}{
		{"some join", usual, 0, false, func(w *world) { join(w, 3) }},
		{"one joins under a burst", 1.6 * usual, 0, false, func(w *world) { join(w, 1) }},
		{"a zone back all cold", usual, 0, false, func(w *world) {
			gone := lose(w, func(i int) bool { return i%3 == 0 })
			w.After(5*time.Second, func() { back(w, gone) })
		}},
		{"six in ten replaced", usual, 0, false, func(w *world) {
			for i := range coldServers * 6 / 10 {
				w.After(time.Duration(i)*7*time.Second/(coldServers*6/10), func() {
					old := w.order[i]
					old.State = policy.Draining
					w.tell(policy.IncrementalUpdate, old.Endpoint, w.add(fmt.Sprint("new", i), w.Now))
				})
			}
		}},
		{"all gateways restarted", usual, 0, false, func(w *world) {
			for i := range 6 {
				w.restart(w.order[5*i])
			}
			for i, r := range w.rigs {
				r.start(i)
			}
		}},
		{"repeated at once", 1.3 * usual, 2, false, func(w *world) { join(w, 3) }},
		{"few warm ones left", usual, 0, false, func(w *world) {
			gone := lose(w, func(i int) bool { return i%6 != 0 })
			w.After(3*time.Second, func() { back(w, gone) })
		}},
		{"few warm ones left, all gateways restarted, repeated at once", 1.3 * usual, 2, true, func(w *world) {
			back(w, lose(w, func(i int) bool { return i%6 != 0 }))
			for i, r := range w.rigs {
				r.start(i)
			}
		}},
	} {
		fleets := []int{20, 30, 80, 300}
		if c.large {
			fleets = append(fleets, 840)
		}
		for _, gateways := range fleets {
			for _, uneven := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d gateways, uneven %v", c.name, gateways, uneven), func(t *testing.T) {
					t.Parallel()
					w := newWorld(t, gateways, uneven)
					w.offer(c.rate, coldEnd, c.left)
					w.Run(coldAt)
					c.event(w)
					w.Run(coldEnd - w.Now)
					near := w.nearest()
					t.Logf("nearest approach %.2f of the bound, %d of %d tries served", near, w.served, w.tries)
					if near == 0 {
						t.Error("no cold server got anything")
					}
					if near > 1 {
						t.Errorf("a cold server got %.2f times what it bears", near)
					}
				})
			}
		}
	}
}
