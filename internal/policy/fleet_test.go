package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// The tests of this file count across many gateways what none of them can count alone.

const (
	fleetGateways  = 80
	fleetEndpoints = 60
)

// newFleet starts n gateways that differ in index and seed, with the same list of endpoints.
func newFleet(t *testing.T, n int, set policy.Settings, endpoints []policy.Endpoint) []*harness {
	t.Helper()
	var gateways []*harness
	for i := range n {
		set.Seed, set.GatewayIndex, set.Gateways = uint64(i+1), i, n
		h := newHarnessAt(t, time.Minute, set, 0)
		h.step(policy.EndpointsUpdated{Scope: policy.FullUpdate, Endpoints: endpoints})
		gateways = append(gateways, h)
	}
	return gateways
}

// newEndpointList returns a list of endpoints of which the first have just started.
func newEndpointList(now time.Duration, warmingUp int) (list []policy.Endpoint) {
	for i := range fleetEndpoints {
		endpoint := policy.Endpoint{ID: fmt.Sprint("s", i), Weight: 1}
		if i < warmingUp {
			endpoint.StartedAt = now
		}
		list = append(list, endpoint)
	}
	return list
}

func TestFleetSharesWorkByTheCapacityOfEndpointsWarmingUp(t *testing.T) {
	for _, warmingUp := range []int{3, 22, 36} {
		t.Run(fmt.Sprint(warmingUp, " warming up"), func(t *testing.T) {
			set := testSettings()
			set.SlowStartCapacity, set.SlowStartDuration = 0.4, time.Hour // these stay at 0.4
			attempts := map[string]float64{}
			total := 0.0
			for _, h := range newFleet(t, fleetGateways, set, newEndpointList(time.Minute, warmingUp)) {
				for range 300 {
					h.advance(10*ms, replyWithTotal(0))
					id, actions := h.receive(0, 1, 1, 1)
					for _, attempt := range startedAttempts(actions) {
						attempts[attempt.Endpoint]++
						total++
						h.succeed(id, attempt)
					}
				}
			}
			capacity := float64(fleetEndpoints-warmingUp) + float64(warmingUp)*set.SlowStartCapacity
			toWarmingUp, maxShare := 0.0, 0.0
			for i := range warmingUp {
				count := attempts[fmt.Sprint("s", i)]
				toWarmingUp += count
				maxShare = max(maxShare, count/(total/fleetEndpoints*set.SlowStartCapacity))
			}
			want := float64(warmingUp) * set.SlowStartCapacity / capacity
			if toWarmingUp/total < 0.75*want || toWarmingUp/total > 1.25*want {
				t.Errorf("%.3f of the work went to endpoints warming up, which have %.3f of the capacity", toWarmingUp/total, want)
			}
			if maxShare > set.OverloadMultiple {
				t.Errorf("an endpoint warming up got %.2f times its part of the mean work, %v overload it", maxShare, set.OverloadMultiple)
			}
		})
	}
}

// queueingCounter is a counter service that serves calls one after another, so that they queue.
type queueingCounter struct {
	fakeCounter
	serviceTime time.Duration // for one call
	idleAt      time.Duration // when all calls so far are done
	calls       int
}

// call queues a call and returns when its reply comes.
func (c *queueingCounter) call(now time.Duration) time.Duration {
	c.calls++
	c.idleAt = max(c.idleAt, now) + c.serviceTime
	return c.idleAt
}

// dueReply is a reply on its way to a gateway.
type dueReply struct {
	at      time.Duration
	gateway *harness
	reply   policy.CounterReplied
}

// tenantRate is how many requests a second a tenant offers, by its number and the time since the start.
type tenantRate func(tenant int, since time.Duration) float64

// tenantTraffic offers requests of one unit of plan 0 to gateways, each tenant's at its rate, and
// carries their calls to a counter at which they queue.
type tenantTraffic struct {
	gateways []*harness
	counter  *queueingCounter
	rng      *rand.Rand
	tenants  int
	rate     tenantRate
	observe  func(tenant int, now time.Duration, forwarded bool) // each request as it is offered or forwarded; may be nil

	offered   []float64 // by tenant
	forwarded []float64
	replies   []dueReply
	tenantOf  map[string]int // of a request
}

// run offers requests for a while. What it offered and what was forwarded are counted from zero.
func (tr *tenantTraffic) run(d time.Duration) {
	tr.offered, tr.forwarded = make([]float64, tr.tenants), make([]float64, tr.tenants)
	tr.replies = nil
	tr.tenantOf = map[string]int{}
	start := tr.gateways[0].now
	for now := start; now < start+d; now += ms {
		for _, h := range tr.gateways {
			tr.handle(h, h.advance(now-h.now, nil))
		}
		for len(tr.replies) > 0 && tr.replies[0].at <= now {
			reply := tr.replies[0]
			tr.replies = tr.replies[1:]
			tr.handle(reply.gateway, reply.gateway.step(reply.reply))
		}
		for tenant := range tr.tenants {
			if tr.rng.Float64() < tr.rate(tenant, now-start)/1000 {
				tr.offer(tenant, now)
			}
		}
	}
}

// offer hands a tenant's request to a random gateway.
func (tr *tenantTraffic) offer(tenant int, now time.Duration) {
	tr.offered[tenant]++
	if tr.observe != nil {
		tr.observe(tenant, now, false)
	}
	h := tr.gateways[tr.rng.IntN(len(tr.gateways))]
	id := fmt.Sprint(tenant, ".", len(tr.tenantOf))
	tr.tenantOf[id] = tenant
	tr.handle(h, h.step(policy.RequestReceived{RequestID: id, Tenant: uint64(tenant + 1), Timeout: 2 * time.Second, Units: 1,
		TenantGateways: len(tr.gateways)}))
}

// handle ends the attempts that a gateway starts and hands its calls to the counter.
func (tr *tenantTraffic) handle(h *harness, actions []policy.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case policy.StartAttempt:
			tenant := tr.tenantOf[action.RequestID]
			tr.forwarded[tenant]++
			if tr.observe != nil {
				tr.observe(tenant, h.now, true)
			}
			h.succeed(action.RequestID, action)
		case policy.AddToCounter:
			tr.replies = append(tr.replies, dueReply{tr.counter.call(h.now), h, tr.counter.add(action)})
		}
	}
	h.counterCalls = h.counterCalls[:0]
}

func TestFleetFillsAndKeepsTheQuotaOfWidelySpreadTenants(t *testing.T) {
	// Plan 0 has 4 units a second and a burst of 8; 60 gateways see a tenant's request every 20 s each. Half of
	// the tenants ask for 11 units in one second of four, the others for four times their quota.
	set := testSettings()
	set.Plans[0].OverQuotaCost = 1
	const seconds = 60
	traffic := &tenantTraffic{
		gateways: newFleet(t, 60, set, newEndpointList(0, 0)),
		counter:  &queueingCounter{fakeCounter: fakeCounter{}, serviceTime: 200 * time.Microsecond},
		rng:      rand.New(rand.NewPCG(5, 6)),
		tenants:  20,
		rate: func(tenant int, since time.Duration) float64 {
			switch {
			case tenant%2 == 1:
				return 16
			case since%(4*time.Second) < time.Second:
				return 11
			}
			return 0
		},
	}
	traffic.run(seconds * time.Second)
	within, over := 0.0, 0.0
	for tenant, units := range traffic.forwarded {
		if tenant%2 == 0 {
			within += units / traffic.offered[tenant] / 10
		} else {
			over += units / (4*seconds + 8) / 10
		}
	}
	if within < 0.83 { // chance takes some bursts over the bucket
		t.Errorf("%.2f of what was offered within the quotas was forwarded", within)
	}
	if over < 0.9 || over > 1.1 {
		t.Errorf("tenants that ask four times their quota got %.2f times it", over)
	}
}

func TestFleetKeepsTheCountersQueueShort(t *testing.T) {
	// The counter serves a third of what the fleet would call. What waits for it longer than requests are held is
	// of no use, so the gateways together must call less than it serves.
	set := testSettings()
	set.Plans[0].OverQuotaCost = 1
	counter := &queueingCounter{fakeCounter: fakeCounter{}, serviceTime: 10 * ms}
	gateways := newFleet(t, 60, set, newEndpointList(0, 0))
	traffic := &tenantTraffic{
		gateways: gateways,
		counter:  counter,
		rng:      rand.New(rand.NewPCG(7, 8)),
		tenants:  20,
		rate:     func(int, time.Duration) float64 { return 16 },
	}
	traffic.run(20 * time.Second)
	before := counter.calls
	traffic.run(10 * time.Second)
	if calls := counter.calls - before; calls > 1100 || calls < 300 {
		t.Errorf("%d calls in 10 s to a counter that serves 1000", calls)
	}
	if wait := counter.idleAt - gateways[0].now; wait > 5*set.CounterTimeout {
		t.Errorf("its queue is %v long", wait)
	}
}

// tokenBucket is a tenant's quota as it truly is: a token bucket that refills at a rate.
type tokenBucket struct {
	rate, burst, tokens float64
	at                  time.Duration
}

// take takes a unit if there is one.
func (b *tokenBucket) take(now time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+(now-b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// quotaOracle counts by true token buckets what is offered and what is forwarded within the quotas and
// over them.
type quotaOracle struct {
	offered   []tokenBucket // by tenant, drained by what it offers
	forwarded []tokenBucket // drained by what is forwarded

	offeredWithin, forwardedWithin, forwardedOver float64
}

// newQuotaOracle returns full buckets of plan 0.
func newQuotaOracle(tenants int, now time.Duration) *quotaOracle {
	q := &quotaOracle{offered: make([]tokenBucket, tenants), forwarded: make([]tokenBucket, tenants)}
	for i := range tenants {
		q.offered[i] = tokenBucket{rate: 4, burst: 8, tokens: 8, at: now}
		q.forwarded[i] = q.offered[i]
	}
	return q
}

func (q *quotaOracle) observe(tenant int, now time.Duration, forwarded bool) {
	switch {
	case forwarded && q.forwarded[tenant].take(now):
		q.forwardedWithin++
	case forwarded:
		q.forwardedOver++
	case q.offered[tenant].take(now):
		q.offeredWithin++
	}
}

// calmDayRate has most tenants ask for a third of the rate of plan 0, some for nearly all, some for more, some in
// bursts.
func calmDayRate(tenant int, since time.Duration) float64 {
	switch {
	case tenant%10 == 0:
		return 3.8
	case tenant%10 == 1:
		return 10
	case tenant%10 < 4 && since%(12*time.Second) < 3*time.Second:
		return 14
	}
	return 1.3
}

func TestFleetKeepsQuotasOnACalmDay(t *testing.T) {
	// What the fleet forwards over the quotas costs at most 0.1 of what is offered within them: so it is at most 0.1
	// more than under any policy that sees the true buckets late. Plan 0 has 4 units a second and a burst of 8.
	const seconds, gateways, tenants = 40, 30, 30
	for _, each := range []time.Duration{4 * ms, 20 * ms} { // a counter with calls to spare, and one with few
		t.Run(fmt.Sprint("a call each ", each), func(t *testing.T) {
			set := testSettings()
			set.Plans[0].OverQuotaCost = 1
			harnesses := newFleet(t, gateways, set, newEndpointList(0, 0))
			quotas := newQuotaOracle(tenants, harnesses[0].now)
			traffic := &tenantTraffic{
				gateways: harnesses,
				counter:  &queueingCounter{fakeCounter: fakeCounter{}, serviceTime: each},
				rng:      rand.New(rand.NewPCG(9, 10)),
				tenants:  tenants,
				rate:     calmDayRate,
				observe:  quotas.observe,
			}
			traffic.run(seconds * time.Second)
			if quotas.forwardedOver > 0.1*quotas.offeredWithin {
				t.Errorf("%.3f of what is offered within the quotas was forwarded over them", quotas.forwardedOver/quotas.offeredWithin)
			}
			if quotas.forwardedWithin < 0.75*quotas.offeredWithin { // rejecting all costs nothing
				t.Errorf("%.3f of what is offered within the quotas was forwarded", quotas.forwardedWithin/quotas.offeredWithin)
			}
		})
	}
}
