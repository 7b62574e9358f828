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
		if i == 100 { // s0 restarts while the others are removed, so only s0 is left
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
	// The share of the requests that s0 may get is its slow-start factor, which grows from 0.2 to 0.36 in
	// these 2 s, times 1.8, which is maxWarmUpShare of OverloadMultiple. Of the 50 requests a second, that
	// is about 50 in 2 s.
	if attempts > 56 || attempts == 0 {
		t.Errorf("endpoint that is warming up got %d attempts for 100 requests, want 1 to 56", attempts)
	}
}

func TestRequestsForwardedWhileAllEndpointsWarmUp(t *testing.T) {
	// Guards against a gateway that never forwards: when every endpoint is warming up and no attempt has
	// ended yet, a throttle that relied on this gateway's own attempts alone would allow none.
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
	// By then the endpoints have a third of their capacity: 0.2 + 0.8/6. Warm endpoints are assumed to have
	// a utilization of 1/1.8, so 1.8/3 of the requests can be forwarded.
	if k := h.countAdmitted(300, 1, 1); k < 140 || k > 220 {
		t.Errorf("%d of 300 requests forwarded 10 s after all endpoints started, want about 180", k)
	}
}

// Times and load of the simulated fleet.
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

// crash stops the endpoints whose numbers are chosen. Discovery reports them as removed two seconds later, even if
// they have restarted by then.
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

// restartEndpoints restarts crashed endpoints and announces them to the gateways.
func (f *simFleet) restartEndpoints(crashed []*simEndpoint) {
	var restarted []policy.Endpoint
	for _, endpoint := range crashed {
		restarted = append(restarted, endpoint.restart())
	}
	f.sendUpdate(policy.IncrementalUpdate, restarted...)
}

// replaceEndpoints drains count endpoints, evenly spread over a time, and adds a new one for each.
func (f *simFleet) replaceEndpoints(count int, within time.Duration) {
	for i := range count {
		f.After(time.Duration(i)*within/time.Duration(count), func() {
			old := f.endpoints[i]
			old.State = policy.Draining
			f.sendUpdate(policy.IncrementalUpdate, old.Endpoint, f.addEndpoint(fmt.Sprint("new", i), f.Now))
		})
	}
}

// restartGateways restarts every gateway.
func (f *simFleet) restartGateways() {
	for i, gateway := range f.gateways {
		gateway.start(i)
	}
}

// slowStartCase is an event after which endpoints are warming up, and the load meanwhile.
type slowStartCase struct {
	name    string
	rate    float64 // requests a second
	retries int     // immediate retries by a client
	large   bool    // also run with 840 gateways, the fleet size to design for
	event   func(f *simFleet)
}

var slowStartCases = []slowStartCase{
	{"three endpoints join", simUsualLoad, 0, false, func(f *simFleet) { f.addNewEndpoints(3) }},
	{"one endpoint joins under high load", 1.6 * simUsualLoad, 0, false, func(f *simFleet) { f.addNewEndpoints(1) }},
	{"a zone crashes and restarts", simUsualLoad, 0, false, func(f *simFleet) {
		crashed := f.crash(func(i int) bool { return i%3 == 0 })
		f.After(5*time.Second, func() { f.restartEndpoints(crashed) })
	}},
	{"60% of endpoints replaced", simUsualLoad, 0, false, func(f *simFleet) {
		f.replaceEndpoints(simEndpoints*6/10, 7*time.Second)
	}},
	{"all gateways and a fifth of endpoints restart", simUsualLoad, 0, false, func(f *simFleet) {
		for i := range 6 {
			f.endpoints[5*i].restart()
		}
		f.restartGateways()
	}},
	{"three endpoints join, clients retry at once", 1.3 * simUsualLoad, 2, false, func(f *simFleet) { f.addNewEndpoints(3) }},
	{"five in six endpoints crash and restart", simUsualLoad, 0, false, func(f *simFleet) {
		crashed := f.crash(func(i int) bool { return i%6 != 0 })
		f.After(3*time.Second, func() { f.restartEndpoints(crashed) })
	}},
	{"all gateways and five in six endpoints restart, clients retry at once", 1.3 * simUsualLoad, 2, true, func(f *simFleet) {
		f.restartEndpoints(f.crash(func(i int) bool { return i%6 != 0 }))
		f.restartGateways()
	}},
}

// Guards against an overload of endpoints that are warming up: each gateway sends little, but
// the sum over all gateways must not exceed what an endpoint can handle in any window of the
// length OverloadDuration.
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
	t.Logf("peak load %.2f of the allowed load, %d of %d requests succeeded", peak, f.succeeded, f.requests)
	if peak == 0 {
		t.Error("no endpoint got a request while it was warming up")
	}
	if peak > 1 {
		t.Errorf("an endpoint that is warming up got %.2f times its allowed load", peak)
	}
}
