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

// fleetOf starts n gateways that differ in rank and seed, with the same list of servers.
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

// fleetList is a list of servers of which the first have just started.
func fleetList(now time.Duration, cold int) (list []policy.Endpoint) {
	for i := range fleetServers {
		s := policy.Endpoint{ID: fmt.Sprint("s", i), Weight: 1}
		if i < cold {
			s.StartedAt = now
		}
		list = append(list, s)
	}
	return list
}

func TestFleetSharesWorkByWhatColdServersCanDo(t *testing.T) {
	for _, cold := range []int{3, 22, 36} {
		t.Run(fmt.Sprint(cold, " cold"), func(t *testing.T) {
			set := settings()
			set.SlowStartCapacity, set.SlowStartDuration = 0.4, time.Hour // the cold ones stay at 0.4
			sends := map[string]float64{}
			total := 0.0
			for _, r := range fleetOf(t, fleetGateways, set, fleetList(time.Minute, cold)) {
				for range 300 {
					r.run(10*ms, totals(0))
					id, as := r.arrive(0, 1, 1, 1)
					for _, s := range sent(as) {
						sends[s.Endpoint]++
						total++
						r.pass(id, s)
					}
				}
			}
			can := float64(fleetServers-cold) + float64(cold)*set.SlowStartCapacity
			toCold, most := 0.0, 0.0
			for i := range cold {
				k := sends[fmt.Sprint("s", i)]
				toCold += k
				most = max(most, k/(total/fleetServers*set.SlowStartCapacity))
			}
			if want := float64(cold) * set.SlowStartCapacity / can; toCold/total < 0.75*want || toCold/total > 1.25*want {
				t.Errorf("%.3f of the work went to cold servers, which can do %.3f of it", toCold/total, want)
			}
			if most > set.OverloadMultiple {
				t.Errorf("a cold server got %.2f times its part of the mean work, %v make it fall", most, set.OverloadMultiple)
			}
		})
	}
}

// line is a counter service that works on calls in turn, only so many a second.
type line struct {
	numbers
	each, idleAt time.Duration
	calls        int
}

// call returns when the answer comes.
func (l *line) call(now time.Duration) time.Duration {
	l.calls++
	l.idleAt = max(l.idleAt, now) + l.each
	return l.idleAt
}

// due is an answer on its way to a gateway.
type due struct {
	at  time.Duration
	rig *rig
	ev  policy.CounterReplied
}

// through offers tries of one unit of plan 0 to gateways for a while, for each customer at the rate a second
// that it has then, before a counter that is a line. It returns what was offered and sent on by customer, and
// tells each of these to see as it happens.
func through(rigs []*rig, l *line, rng *rand.Rand, d time.Duration, customers int,
	rate func(i int, since time.Duration) float64, see ...func(i int, now time.Duration, sent bool)) (offered, sentOn []float64) {
	offered, sentOn = make([]float64, customers), make([]float64, customers)
	var answers []due
	owner := map[string]int{}
	take := func(r *rig, as []policy.Action) {
		for _, a := range as {
			switch a := a.(type) {
			case policy.StartAttempt:
				sentOn[owner[a.RequestID]]++
				for _, f := range see {
					f(owner[a.RequestID], r.now, true)
				}
				r.pass(a.RequestID, a)
			case policy.AddToCounter:
				answers = append(answers, due{l.call(r.now), r, l.add(a)})
			}
		}
		r.counts = r.counts[:0]
	}
	start := rigs[0].now
	for now := start; now < start+d; now += ms {
		for _, r := range rigs {
			take(r, r.run(now-r.now, nil))
		}
		for len(answers) > 0 && answers[0].at <= now {
			a := answers[0]
			answers = answers[1:]
			take(a.rig, a.rig.step(a.ev))
		}
		for i := range customers {
			if rng.Float64() >= rate(i, now-start)/1000 {
				continue
			}
			offered[i]++
			for _, f := range see {
				f(i, now, false)
			}
			r := rigs[rng.IntN(len(rigs))]
			id := fmt.Sprint(i, ".", len(owner))
			owner[id] = i
			take(r, r.step(policy.RequestReceived{RequestID: id, Tenant: uint64(i + 1), Timeout: 2 * time.Second, Units: 1,
				TenantGateways: len(rigs)}))
		}
	}
	return offered, sentOn
}

func TestFleetFillsAndKeepsTheQuotaOfWidelySpreadCustomers(t *testing.T) {
	// Plan 0 has 4 units a second and a burst of 8; 60 gateways see a customer's try every 20 s each. Half of
	// the customers ask for 11 units in one second of four, the others for four times their quota.
	set := settings()
	set.Plans[0].OverQuotaCost = 1
	rate := func(i int, since time.Duration) float64 {
		switch {
		case i%2 == 1:
			return 16
		case since%(4*time.Second) < time.Second:
			return 11
		}
		return 0
	}
	const seconds = 60
	l := &line{numbers: numbers{}, each: 200 * time.Microsecond}
	offered, got := through(fleetOf(t, 60, set, fleetList(0, 0)), l, rand.New(rand.NewPCG(5, 6)), seconds*time.Second,
		20, rate)
	inside, beyond := 0.0, 0.0
	for i, k := range got {
		if i%2 == 0 {
			inside += k / offered[i] / 10
		} else {
			beyond += k / (4*seconds + 8) / 10
		}
	}
	if inside < 0.83 { // chance takes some bursts beyond the store
		t.Errorf("%.2f of what was asked inside the quotas was sent on", inside)
	}
	if beyond < 0.9 || beyond > 1.1 {
		t.Errorf("customers that ask four times their quota got %.2f times it", beyond)
	}
}

func TestFleetKeepsTheCountersLineShort(t *testing.T) {
	// The counter serves a third of what the fleet would call. What waits for it longer than tries are held is
	// of no use, so the gateways together must call less than it serves.
	set := settings()
	set.Plans[0].OverQuotaCost = 1
	rate := func(int, time.Duration) float64 { return 16 }
	l := &line{numbers: numbers{}, each: 10 * ms}
	rigs := fleetOf(t, 60, set, fleetList(0, 0))
	rng := rand.New(rand.NewPCG(7, 8))
	through(rigs, l, rng, 20*time.Second, 20, rate)
	before := l.calls
	through(rigs, l, rng, 10*time.Second, 20, rate)
	if k := l.calls - before; k > 1100 || k < 300 {
		t.Errorf("%d calls in 10 s to a counter that serves 1000", k)
	}
	if wait := l.idleAt - rigs[0].now; wait > 5*set.CounterTimeout {
		t.Errorf("its line is %v long", wait)
	}
}

// bucket is a customer's quota as it truly is: a store of units that fills at a rate.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

// take takes a unit if there is one.
func (b *bucket) take(now time.Duration) bool {
	b.level, b.at = min(b.burst, b.level+(now-b.at).Seconds()*b.rate), now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func TestFleetKeepsQuotasOnACalmDay(t *testing.T) {
	// What the fleet sends on beyond the quotas costs at most 0.1 of what is asked inside them: so it is at most
	// 0.1 more than under any policy that sees the true stores late. Plan 0 has 4 units a second and a burst of 8.
	// Most customers ask for a third of the rate, some for nearly all, some for more, some in bursts.
	const seconds, gateways, customers = 40, 30, 30
	rate := func(i int, since time.Duration) float64 {
		switch {
		case i%10 == 0:
			return 3.8
		case i%10 == 1:
			return 10
		case i%10 < 4 && since%(12*time.Second) < 3*time.Second:
			return 14
		}
		return 1.3
	}
	for _, each := range []time.Duration{4 * ms, 20 * ms} { // a counter with calls to spare, and one with few
		set := settings()
		set.Plans[0].OverQuotaCost = 1
		rigs := fleetOf(t, gateways, set, fleetList(0, 0))
		asked, fleet := make([]bucket, customers), make([]bucket, customers)
		for i := range asked {
			asked[i] = bucket{rate: 4, burst: 8, level: 8, at: rigs[0].now}
			fleet[i] = asked[i]
		}
		inside, served, beyond := 0.0, 0.0, 0.0
		through(rigs, &line{numbers: numbers{}, each: each}, rand.New(rand.NewPCG(9, 10)), seconds*time.Second,
			customers, rate, func(i int, now time.Duration, sent bool) {
				switch {
				case sent && fleet[i].take(now):
					served++
				case sent:
					beyond++
				case asked[i].take(now):
					inside++
				}
			})
		if beyond > 0.1*inside {
			t.Errorf("a call each %v: %.3f of what is asked inside the quotas was sent on beyond them", each, beyond/inside)
		}
		if served < 0.75*inside { // refusing all costs nothing
			t.Errorf("a call each %v: %.3f of what is asked inside the quotas was sent on", each, served/inside)
		}
	}
}
