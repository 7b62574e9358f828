package policy_test

import (
	"fmt"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

func TestWarmingUpEndpointGetsReducedLoad(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	restarted := testEndpoint(0)
	attempts := 0
	for i := range 200 {
		if i == 100 { // one restarts while the others go: only it is left
			restarted.StartedAt = h.now
			h.step(policy.EndpointsUpdated{Scope: policy.FullUpdate, Endpoints: []policy.Endpoint{restarted}})
		}
		h.advance(20*ms, replyWithTotal(0))
		id, actions := h.receive(0, 1, 1, 1)
		for _, attempt := range startedAttempts(actions) {
			if i >= 100 {
				attempts++
			}
			h.succeed(id, attempt)
		}
	}
	// 50 a second went to all; 1.8 times a fifth of that, growing to two fifths, for 2 s.
	if attempts > 56 || attempts == 0 {
		t.Errorf("an endpoint that is warming up got %d of 100 attempts", attempts)
	}
}

func TestRequestsForwardedWhileAllEndpointsWarmUp(t *testing.T) {
	// With every endpoint warming up and nothing forwarded yet, a throttle by own attempts alone would
	// give nothing for ever.
	settings := testSettings()
	settings.SlowStartDuration = time.Minute
	h := newHarness(t, settings, 0)
	update := policy.EndpointsUpdated{Scope: policy.FullUpdate}
	for i := range 3 {
		endpoint := testEndpoint(i)
		endpoint.StartedAt = h.now
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	h.step(update)
	h.advance(10*time.Second, nil)
	// A third of the capacity is there by then: 0.2 + 0.8/6. Endpoints are taken to be 1/1.8 busy when warm.
	if k := h.countAdmitted(300, 1, 1); k < 140 || k > 220 {
		t.Errorf("%d of 300 requests forwarded 10 s after all endpoints started, want about 180", k)
	}
}

// The fleet test's own times and load.
const (
	simEventAt   = 8 * time.Second
	simEnd       = simEventAt + 10*time.Second
	simUsualLoad = 0.6 * simEndpoints * simCapacity // requests a second
)

// addNewEndpoints adds endpoints that have just started.
func (f *simFleet) addNewEndpoints(count int) {
	var added []policy.Endpoint
	for i := range count {
		added = append(added, f.addEndpoint(fmt.Sprint("new", i), f.Now))
	}
	f.sendUpdate(policy.IncrementalUpdate, added...)
}

// crash removes the endpoints whose number is chosen; gateways hear of it later.
func (f *simFleet) crash(chosen func(int) bool) (crashed []*simEndpoint) {
	var removed []policy.Endpoint
	for i, endpoint := range f.endpoints {
		if chosen(i) {
			endpoint.crashed, endpoint.State = true, policy.Removed
			crashed = append(crashed, endpoint)
			removed = append(removed, endpoint.Endpoint)
		}
	}
	f.After(2*time.Second, func() { f.sendUpdate(policy.IncrementalUpdate, removed...) })
	return crashed
}

// restartEndpoints restarts crashed endpoints.
func (f *simFleet) restartEndpoints(crashed []*simEndpoint) {
	var restarted []policy.Endpoint
	for _, endpoint := range crashed {
		restarted = append(restarted, endpoint.restart())
	}
	f.sendUpdate(policy.IncrementalUpdate, restarted...)
}

// replaceEndpoints drains some endpoints, one after the other within a time, and adds a new one for each.
func (f *simFleet) replaceEndpoints(count int, within time.Duration) {
	for i := range count {
		f.After(time.Duration(i)*within/time.Duration(count), func() {
			old := f.endpoints[i]
			old.State = policy.Draining
			f.sendUpdate(policy.IncrementalUpdate, old.Endpoint, f.addEndpoint(fmt.Sprint("new", i), f.Now))
		})
	}
}

// restartGateways gives every gateway a new incarnation.
func (f *simFleet) restartGateways() {
	for i, gateway := range f.gateways {
		gateway.start(i)
	}
}

// slowStartCase is an event after which endpoints are warming up.
type slowStartCase struct {
	name    string
	rate    float64
	retries int  // times that a client asks again at once
	large   bool // played with the size to design for as well
	event   func(f *simFleet)
}

var slowStartCases = []slowStartCase{
	{"some join", simUsualLoad, 0, false, func(f *simFleet) { f.addNewEndpoints(3) }},
	{"one joins under a burst", 1.6 * simUsualLoad, 0, false, func(f *simFleet) { f.addNewEndpoints(1) }},
	{"a zone back, all warming up", simUsualLoad, 0, false, func(f *simFleet) {
		crashed := f.crash(func(i int) bool { return i%3 == 0 })
		f.After(5*time.Second, func() { f.restartEndpoints(crashed) })
	}},
	{"six in ten replaced", simUsualLoad, 0, false, func(f *simFleet) {
		f.replaceEndpoints(simEndpoints*6/10, 7*time.Second)
	}},
	{"all gateways restarted", simUsualLoad, 0, false, func(f *simFleet) {
		for i := range 6 {
			f.endpoints[5*i].restart()
		}
		f.restartGateways()
	}},
	{"retried at once", 1.3 * simUsualLoad, 2, false, func(f *simFleet) { f.addNewEndpoints(3) }},
	{"few warm ones left", simUsualLoad, 0, false, func(f *simFleet) {
		crashed := f.crash(func(i int) bool { return i%6 != 0 })
		f.After(3*time.Second, func() { f.restartEndpoints(crashed) })
	}},
	{"few warm ones left, all gateways restarted, retried at once", 1.3 * simUsualLoad, 2, true, func(f *simFleet) {
		f.restartEndpoints(f.crash(func(i int) bool { return i%6 != 0 }))
		f.restartGateways()
	}},
}

// Guards endpoints that are warming up against the sum of what all gateways send them, each
// of which sees little: in no time of the settings' length does one get more than it can serve.
func TestFleetNeverOverloadsWarmingUpEndpoint(t *testing.T) {
	for _, c := range slowStartCases {
		fleets := []int{20, 30, 80, 300}
		if c.large {
			fleets = append(fleets, 840)
		}
		for _, gateways := range fleets {
			for _, uneven := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d gateways, uneven %v", c.name, gateways, uneven), func(t *testing.T) {
					t.Parallel()
					c.run(t, gateways, uneven)
				})
			}
		}
	}
}

func (c slowStartCase) run(t *testing.T, gateways int, uneven bool) {
	f := newSimFleet(t, gateways, uneven)
	f.generateRequests(c.rate, simEnd, c.retries)
	f.Run(simEventAt)
	c.event(f)
	f.Run(simEnd - f.Now)
	peak := f.peakLoadRatio()
	t.Logf("nearest approach %.2f of the bound, %d of %d requests succeeded", peak, f.succeeded, f.requests)
	if peak == 0 {
		t.Error("no endpoint that is warming up got anything")
	}
	if peak > 1 {
		t.Errorf("an endpoint that is warming up got %.2f times what it can serve", peak)
	}
}
