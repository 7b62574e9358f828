package policy_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// This file simulates callers of a fleet whose endpoints get more requests than they can serve
// for a while.

const (
	overloadPhase     = 20 * time.Second
	overloadEndpoints = 10
	overloadCores     = 2
	overloadTenants   = 60
	usualPressure     = 0.55 // load outside of the overload, relative to the endpoints' capacity
	readClass         = 0
	bookClass         = 1
	bookShare         = 0.26 // share of requests that are not idempotent
)

// overloadDay is a simulated day in three phases of equal length. In the middle one callers send
// pressure times as many requests as the endpoints can serve.
type overloadDay struct {
	gateways  int
	pressure  float64
	quota     float64 // quota of a tenant, relative to its mean demand at full load of the endpoints
	waitShare float64 // of its class's deadline, the least time that a caller waits
	deadlines float64 // factor on the deadlines of the classes; 0: 1
	retries   int     // of each caller, at once after a rejection
	hanging   int     // endpoints that hang in the middle phase
	seed      uint64
}

// overloadCount counts the requests of one kind by their end.
type overloadCount struct {
	sent, served, rejected, failed, gaveUp int
	latencies                              []time.Duration // of those served
	retryAfters                            []time.Duration // of those rejected
}

// overloadResult holds the requests of a day, by the phase in which they were sent.
type overloadResult struct {
	phases   [3]overloadCount
	pressed  [2]overloadCount // in the middle phase, by class
	workDone time.Duration    // in the middle phase, answered in time
}

func (c *overloadCount) add(answer simAnswer) {
	switch answer.outcome {
	case simServed:
		c.served++
		c.latencies = append(c.latencies, answer.latency)
	case simRejected:
		c.rejected++
		c.retryAfters = append(c.retryAfters, answer.retryAfter)
	case simFailed:
		c.failed++
	case simGaveUp:
		c.gaveUp++
	}
}

func (c *overloadCount) share(n int) float64 { return float64(n) / float64(max(c.sent, 1)) }

// capacityUsed returns the work of the middle phase that was answered in time, relative to what the
// endpoints can do.
func (r *overloadResult) capacityUsed() float64 {
	return r.workDone.Seconds() / (overloadEndpoints * overloadCores * overloadPhase.Seconds())
}

func (r *overloadResult) log(t *testing.T) {
	t.Helper()
	for phase := range r.phases {
		t.Logf("phase %d: %v", phase, &r.phases[phase])
	}
	t.Logf("overload: work answered in time %.3f of the capacity", r.capacityUsed())
}

// percentile returns the duration that a share of all does not exceed.
func percentile(durations []time.Duration, share float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[int(share*float64(len(durations)-1))]
}

func (c *overloadCount) String() string {
	return fmt.Sprintf("%d sent: served %.3f rejected %.3f failed %.3f gave up %.3f; latency p50 %v p95 %v p99 %v; Retry-After p50 %v p95 %v",
		c.sent, c.share(c.served), c.share(c.rejected), c.share(c.failed), c.share(c.gaveUp),
		percentile(c.latencies, 0.5).Round(ms), percentile(c.latencies, 0.95).Round(ms), percentile(c.latencies, 0.99).Round(ms),
		percentile(c.retryAfters, 0.5).Round(ms), percentile(c.retryAfters, 0.95).Round(ms))
}

// settings returns the deployment of the day: two classes and three plans.
func (d *overloadDay) settings() policy.Settings {
	settings := simSettings(d.gateways)
	settings.Classes = []policy.Class{
		{Deadline: 2500 * ms, Idempotency: policy.Idempotent},
		{Deadline: 4 * time.Second, Idempotency: policy.NonIdempotent},
	}
	if d.deadlines > 0 {
		for i := range settings.Classes {
			settings.Classes[i].Deadline = time.Duration(d.deadlines * float64(settings.Classes[i].Deadline))
		}
	}
	settings.Plans = nil
	for plan := range 3 {
		rate := d.quota * d.tenantRate(plan)
		settings.Plans = append(settings.Plans, policy.Plan{Rate: rate, Burst: 4 * rate})
	}
	settings.MaxRequestUnits = 1
	return settings
}

// capacity returns the requests per second that the endpoints can serve.
func (d *overloadDay) capacity() float64 {
	work := overloadWork()
	mean := (1-bookShare)*work[readClass].Seconds() + bookShare*work[bookClass].Seconds()
	return overloadEndpoints * overloadCores / mean
}

// overloadWork returns the mean work of a request by class.
func overloadWork() []time.Duration { return []time.Duration{100 * ms, 155 * ms} }

// tenantRate returns the mean requests per second of one tenant of a plan at full load.
func (d *overloadDay) tenantRate(plan int) float64 {
	return d.capacity() * tenantWeight(plan) / (overloadTenants / 3 * (tenantWeight(0) + tenantWeight(1) + tenantWeight(2)))
}

// tenantWeight returns the traffic of a tenant relative to one of plan 0. Tenant n has plan n%3.
func tenantWeight(tenant int) float64 { return []float64{1, 3, 10}[tenant%3] }

// run plays the day.
func (d *overloadDay) run(t *testing.T) *overloadResult {
	t.Helper()
	f := &simFleet{
		t:        t,
		rng:      rand.New(rand.NewPCG(d.seed, 33)),
		settings: d.settings(),
		meanWork: overloadWork(),
		cores:    overloadCores,
		maxQueue: 1000,
	}
	f.start(overloadEndpoints, false)
	result := &overloadResult{}
	for phase := range result.phases {
		rate := usualPressure * d.capacity()
		if phase == 1 {
			rate = d.pressure * d.capacity()
		}
		for i := range d.hanging {
			f.endpoints[i].hangs = phase == 1
		}
		d.generate(f, result, phase, rate, f.Now+overloadPhase)
		before := f.workDone
		f.Run(overloadPhase)
		if phase == 1 {
			result.workDone = f.workDone - before
		}
	}
	f.Run(5 * time.Second)
	return result
}

// generate sends requests at random intervals, on average rate a second, until a time.
func (d *overloadDay) generate(f *simFleet, result *overloadResult, phase int, rate float64, until time.Duration) {
	gap := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
	if f.Now+gap >= until {
		return
	}
	f.After(gap, func() {
		d.send(f, result, phase)
		d.generate(f, result, phase, rate, until)
	})
}

// send sends a request of a random tenant through one of the tenant's gateways.
func (d *overloadDay) send(f *simFleet, result *overloadResult, phase int) {
	tenant := f.rng.IntN(overloadTenants)
	for f.rng.Float64()*tenantWeight(2) > tenantWeight(tenant) {
		tenant = f.rng.IntN(overloadTenants)
	}
	class := readClass
	if f.rng.Float64() < bookShare {
		class = bookClass
	}
	waits := d.waitShare + (1-d.waitShare)*f.rng.Float64()
	timeout := time.Duration(waits * float64(f.settings.Classes[class].Deadline))
	spread := min(3, d.gateways)
	gateway := f.gateways[(tenant+f.rng.IntN(spread))%d.gateways]
	counts := []*overloadCount{&result.phases[phase]}
	if phase == 1 {
		counts = append(counts, &result.pressed[class])
	}
	for _, count := range counts {
		count.sent++
	}
	event := policy.RequestReceived{Class: class, Plan: tenant % 3, Tenant: uint64(tenant + 1), Timeout: timeout,
		Units: 1, TenantGateways: spread}
	d.try(f, counts, gateway, event, d.retries)
}

// try sends a try of a request, and further ones if it is rejected. Only the last one is counted.
func (d *overloadDay) try(f *simFleet, counts []*overloadCount, gateway *simGateway, event policy.RequestReceived, retries int) {
	f.send(gateway, event, func(answer simAnswer) {
		event.Timeout -= answer.latency + 2*simOneWayLatency
		if answer.outcome != simRejected || retries == 0 || event.Timeout <= 0 {
			for _, count := range counts {
				count.add(answer)
			}
			return
		}
		f.After(2*simOneWayLatency, func() { d.try(f, counts, gateway, event, retries-1) })
	})
}

// Guards against a collapse under overload: requests whose callers give up while their work is
// under way eat the capacity for those that could be served.
func TestOverloadServesCapacityInTime(t *testing.T) {
	for _, gateways := range []int{3, 20, 60} {
		for _, pressure := range []float64{1.3, 2, 3} {
			t.Run(fmt.Sprintf("%d gateways, %v times the capacity", gateways, pressure), func(t *testing.T) {
				t.Parallel()
				day := &overloadDay{gateways: gateways, pressure: pressure, quota: 10, waitShare: 0.5, seed: 1}
				result := day.run(t)
				result.log(t)
				if share := result.capacityUsed(); share < 0.9 {
					t.Errorf("work answered in time: %.3f of the endpoints' capacity, want at least 0.9", share)
				}
			})
		}
	}
}

// Guards against requests that wait for endpoints that hang until their callers give up: all
// idempotent requests have time for another endpoint. The others are lost if they went to one that
// hangs, a fifth of them at most.
func TestHangingEndpointsLoseOnlyUnsafeRequests(t *testing.T) {
	const hanging, tolerance = 2, 0.05
	want := 1 - bookShare*hanging/overloadEndpoints - tolerance
	for _, gateways := range []int{3, 20, 60} {
		day := &overloadDay{gateways: gateways, pressure: 0.6, quota: 10, waitShare: 0.5, hanging: hanging, seed: 1}
		result := day.run(t)
		result.log(t)
		if pressed := &result.phases[1]; pressed.share(pressed.served) < want {
			t.Errorf("%d gateways: served %.3f while %d of %d endpoints hang, want at least %.3f", gateways, pressed.share(pressed.served),
				hanging, overloadEndpoints, want)
		}
	}
}

// Guards against callers with much time who fill the queues until nobody with less time is served:
// under overload each class gets at least three quarters of the mean share, over some days.
func TestOverloadServesAllClasses(t *testing.T) {
	const days = 5
	for _, pressure := range []float64{2, 3} {
		var sent, served [2]float64 // by class
		for seed := range uint64(days) {
			day := &overloadDay{gateways: 3, pressure: pressure, quota: 10, waitShare: 0.5, seed: seed}
			for class, count := range day.run(t).pressed {
				sent[class] += float64(count.sent)
				served[class] += float64(count.served)
			}
		}
		mean := (served[readClass] + served[bookClass]) / (sent[readClass] + sent[bookClass])
		for class := range sent {
			if got := served[class] / sent[class]; got < 0.75*mean {
				t.Errorf("%v times the capacity: served %.3f of class %d, want at least %.3f", pressure, got, class, 0.75*mean)
			}
		}
	}
}
