package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// The tests of this file count across many gateways what none of them sees alone.

const (
	fleetGateways = 80
	fleetServers  = 60
)

// fleetOf starts n gateways that differ in index and seed, with the same list of endpoints.
func fleetOf(t *testing.T, n int, set policy.Settings, servers []policy.Endpoint) []*rig {
	t.Helper()
	var rigs []*rig
	for i := range n {
		set.Seed, set.GatewayIndex, set.Gateways = uint64(i+1), i, n
		r := rigAt(t, time.Minute, set, 0)
		r.step(policy.EndpointsUpdated{Scope: policy.FullUpdate, Endpoints: servers})
		rigs = append(rigs, r)
	}
	return rigs
}

// fleetList is a list of endpoints of which the first have just started.
func fleetList(now time.Duration, warmingUp int) (list []policy.Endpoint) {
	for i := range fleetServers {
		s := policy.Endpoint{ID: fmt.Sprint("s", i), Weight: 1}
		if i < warmingUp {
			s.StartedAt = now
		}
		list = append(list, s)
	}
	return list
}

func TestFleetSharesWorkByTheCapacityOfEndpointsWarmingUp(t *testing.T) {
	for _, warmingUp := range []int{3, 22, 36} {
		t.Run(fmt.Sprint(warmingUp, " warming up"), func(t *testing.T) {
			set := settings()
			set.SlowStartCapacity, set.SlowStartDuration = 0.4, time.Hour // these stay at 0.4
			attempts := map[string]float64{}
			total := 0.0
			for _, r := range fleetOf(t, fleetGateways, set, fleetList(time.Minute, warmingUp)) {
				for range 300 {
					r.run(10*ms, totals(0))
					id, as := r.arrive(0, 1, 1, 1)
					for _, s := range sent(as) {
						attempts[s.Endpoint]++
						total++
						r.pass(id, s)
					}
				}
			}
			capacity := float64(fleetServers-warmingUp) + float64(warmingUp)*set.SlowStartCapacity
			toWarmingUp, most := 0.0, 0.0
			for i := range warmingUp {
				k := attempts[fmt.Sprint("s", i)]
				toWarmingUp += k
				most = max(most, k/(total/fleetServers*set.SlowStartCapacity))
			}
			want := float64(warmingUp) * set.SlowStartCapacity / capacity
			if toWarmingUp/total < 0.75*want || toWarmingUp/total > 1.25*want {
				t.Errorf("%.3f of the work went to endpoints warming up, which have %.3f of the capacity", toWarmingUp/total, want)
			}
			if most > set.OverloadMultiple {
				t.Errorf("an endpoint warming up got %.2f times its part of the mean work, %v overload it", most, set.OverloadMultiple)
			}
		})
	}
}

// line is a counter service that works on calls in turn, only so many a second.
type line struct {
	numbers
	each   time.Duration // for one call
	idleAt time.Duration // when all calls so far are done
	calls  int
}

// call returns when the reply comes.
func (l *line) call(now time.Duration) time.Duration {
	l.calls++
	l.idleAt = max(l.idleAt, now) + l.each
	return l.idleAt
}

// dueReply is a reply on its way to a gateway.
type dueReply struct {
	at  time.Duration
	rig *rig
	ev  policy.CounterReplied
}

// tenantRate is how many requests a second a tenant offers, by its number and the time since the start.
type tenantRate func(tenant int, since time.Duration) float64

// tenantTraffic offers requests of one unit of plan 0 to gateways, each tenant's at its rate, before a counter that
// is a line.
type tenantTraffic struct {
	rigs    []*rig
	counter *line
	rng     *rand.Rand
	tenants int
	rate    tenantRate
	see     func(tenant int, now time.Duration, forwarded bool) // each request as it is offered or forwarded; may be nil

	offered   []float64 // by tenant
	forwarded []float64
	replies   []dueReply
	owner     map[string]int // of a request
}

// run offers requests for a while. What it offered and what was forwarded are counted from zero.
func (tr *tenantTraffic) run(d time.Duration) {
	tr.offered, tr.forwarded = make([]float64, tr.tenants), make([]float64, tr.tenants)
	tr.replies = nil
	tr.owner = map[string]int{}
	start := tr.rigs[0].now
	for now := start; now < start+d; now += ms {
		for _, r := range tr.rigs {
			tr.take(r, r.run(now-r.now, nil))
		}
		for len(tr.replies) > 0 && tr.replies[0].at <= now {
			reply := tr.replies[0]
			tr.replies = tr.replies[1:]
			tr.take(reply.rig, reply.rig.step(reply.ev))
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
	if tr.see != nil {
		tr.see(tenant, now, false)
	}
	r := tr.rigs[tr.rng.IntN(len(tr.rigs))]
	id := fmt.Sprint(tenant, ".", len(tr.owner))
	tr.owner[id] = tenant
	tr.take(r, r.step(policy.RequestReceived{RequestID: id, Tenant: uint64(tenant + 1), Timeout: 2 * time.Second, Units: 1,
		TenantGateways: len(tr.rigs)}))
}

// take ends the attempts that a gateway starts and hands its calls to the counter.
func (tr *tenantTraffic) take(r *rig, as []policy.Action) {
	for _, a := range as {
		switch a := a.(type) {
		case policy.StartAttempt:
			tenant := tr.owner[a.RequestID]
			tr.forwarded[tenant]++
			if tr.see != nil {
				tr.see(tenant, r.now, true)
			}
			r.pass(a.RequestID, a)
		case policy.AddToCounter:
			tr.replies = append(tr.replies, dueReply{tr.counter.call(r.now), r, tr.counter.add(a)})
		}
	}
	r.counts = r.counts[:0]
}

func TestFleetFillsAndKeepsTheQuotaOfWidelySpreadTenants(t *testing.T) {
	// Plan 0 has 4 units a second and a burst of 8; 60 gateways see a tenant's request every 20 s each. Half of
	// the tenants ask for 11 units in one second of four, the others for four times their quota.
	set := settings()
	set.Plans[0].OverQuotaCost = 1
	const seconds = 60
	traffic := &tenantTraffic{
		rigs:    fleetOf(t, 60, set, fleetList(0, 0)),
		counter: &line{numbers: numbers{}, each: 200 * time.Microsecond},
		rng:     rand.New(rand.NewPCG(5, 6)),
		tenants: 20,
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
	inside, over := 0.0, 0.0
	for tenant, k := range traffic.forwarded {
		if tenant%2 == 0 {
			inside += k / traffic.offered[tenant] / 10
		} else {
			over += k / (4*seconds + 8) / 10
		}
	}
	if inside < 0.83 { // chance takes some bursts over the bucket
		t.Errorf("%.2f of what was asked inside the quotas was forwarded", inside)
	}
	if over < 0.9 || over > 1.1 {
		t.Errorf("tenants that ask four times their quota got %.2f times it", over)
	}
}

func TestFleetKeepsTheCountersLineShort(t *testing.T) {
	// The counter serves a third of what the fleet would call. What waits for it longer than requests are held is
	// of no use, so the gateways together must call less than it serves.
	set := settings()
	set.Plans[0].OverQuotaCost = 1
	counter := &line{numbers: numbers{}, each: 10 * ms}
	rigs := fleetOf(t, 60, set, fleetList(0, 0))
	traffic := &tenantTraffic{
		rigs:    rigs,
		counter: counter,
		rng:     rand.New(rand.NewPCG(7, 8)),
		tenants: 20,
		rate:    func(int, time.Duration) float64 { return 16 },
	}
	traffic.run(20 * time.Second)
	before := counter.calls
	traffic.run(10 * time.Second)
	if k := counter.calls - before; k > 1100 || k < 300 {
		t.Errorf("%d calls in 10 s to a counter that serves 1000", k)
	}
	if wait := counter.idleAt - rigs[0].now; wait > 5*set.CounterTimeout {
		t.Errorf("its line is %v long", wait)
	}
}

// bucket is a tenant's quota as it truly is: a token bucket that fills at a rate.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Duration
}

// take takes a unit if there is one.
func (b *bucket) take(now time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+(now-b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// trueQuotas counts by true token buckets what is asked and what is forwarded inside the quotas and over them.
type trueQuotas struct {
	asked     []bucket // by tenant, drained by what it asks
	forwarded []bucket // drained by what is forwarded

	askedInside, forwardedInside, forwardedOver float64
}

// newTrueQuotas returns full buckets of plan 0.
func newTrueQuotas(tenants int, now time.Duration) *trueQuotas {
	q := &trueQuotas{asked: make([]bucket, tenants), forwarded: make([]bucket, tenants)}
	for i := range tenants {
		q.asked[i] = bucket{rate: 4, burst: 8, tokens: 8, at: now}
		q.forwarded[i] = q.asked[i]
	}
	return q
}

func (q *trueQuotas) see(tenant int, now time.Duration, forwarded bool) {
	switch {
	case forwarded && q.forwarded[tenant].take(now):
		q.forwardedInside++
	case forwarded:
		q.forwardedOver++
	case q.asked[tenant].take(now):
		q.askedInside++
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
	// What the fleet forwards over the quotas costs at most 0.1 of what is asked inside them: so it is at most 0.1
	// more than under any policy that sees the true buckets late. Plan 0 has 4 units a second and a burst of 8.
	const seconds, gateways, tenants = 40, 30, 30
	for _, each := range []time.Duration{4 * ms, 20 * ms} { // a counter with calls to spare, and one with few
		t.Run(fmt.Sprint("a call each ", each), func(t *testing.T) {
			set := settings()
			set.Plans[0].OverQuotaCost = 1
			rigs := fleetOf(t, gateways, set, fleetList(0, 0))
			quotas := newTrueQuotas(tenants, rigs[0].now)
			traffic := &tenantTraffic{
				rigs:    rigs,
				counter: &line{numbers: numbers{}, each: each},
				rng:     rand.New(rand.NewPCG(9, 10)),
				tenants: tenants,
				rate:    calmDayRate,
				see:     quotas.see,
			}
			traffic.run(seconds * time.Second)
			if quotas.forwardedOver > 0.1*quotas.askedInside {
				t.Errorf("%.3f of what is asked inside the quotas was forwarded over them", quotas.forwardedOver/quotas.askedInside)
			}
			if quotas.forwardedInside < 0.75*quotas.askedInside { // rejecting all costs nothing
				t.Errorf("%.3f of what is asked inside the quotas was forwarded", quotas.forwardedInside/quotas.askedInside)
			}
		})
	}
}
