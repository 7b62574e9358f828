package policy_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"swiftpitch/internal/policy"
	"swiftpitch/internal/testclock"
)

// This file simulates a fleet of gateways that share endpoints. simendpoint_test.go has the endpoints.

const (
	simEndpoints      = 30
	simCapacity       = 12.0 // mean number of requests that a warm endpoint serves in a second
	simOneWayLatency  = 2 * ms
	simMaxQueue       = 60 // requests at an endpoint; further ones are rejected
	simClientTimeout  = 2500 * ms
	simAnswerMargin   = 15 * ms     // before a client's deadline, at which its attempts time out at the latest
	simMaxUpdateDelay = time.Second // longest delay of a discovery update to a gateway
)

// simFleet is a fleet of gateways and their endpoints in simulated time.
type simFleet struct {
	testclock.Clock
	t                 *testing.T
	rng               *rand.Rand
	settings          policy.Settings
	meanWork          []time.Duration // of a request at a warm endpoint, by class
	cores             int             // requests that an endpoint works on at a time
	maxQueue          int             // requests at an endpoint; further ones are rejected
	counter           fakeCounter
	workDone          time.Duration // of all endpoints, as far as it was answered in time
	gateways          []*simGateway
	cumulativeWeights []float64 // cumulative shares of the traffic, by gateway
	endpointsByID     map[string]*simEndpoint
	endpoints         []*simEndpoint
	requests          int
	succeeded         int
}

// newSimFleet returns a fleet with warm endpoints. If uneven is set, one gateway in eight gets
// six times the traffic of each other gateway.
func newSimFleet(t *testing.T, gateways int, uneven bool) *simFleet {
	t.Helper()
	f := &simFleet{
		t:        t,
		rng:      rand.New(rand.NewPCG(uint64(gateways), 21)),
		settings: simSettings(gateways),
		meanWork: []time.Duration{time.Second / simCapacity},
		cores:    1,
		maxQueue: simMaxQueue,
	}
	f.start(simEndpoints, uneven)
	return f
}

// start adds warm endpoints and the gateways, whose number the settings tell.
func (f *simFleet) start(endpoints int, uneven bool) {
	f.counter, f.endpointsByID = fakeCounter{}, map[string]*simEndpoint{}
	for i := range endpoints {
		f.addEndpoint(fmt.Sprint("s", i), 0)
	}
	sum := 0.0
	for i := range f.settings.Gateways {
		weight := 1.0
		if uneven && i%8 == 0 {
			weight = 6 // about four times the mean
		}
		sum += weight
		f.cumulativeWeights = append(f.cumulativeWeights, sum)
		gateway := &simGateway{fleet: f}
		f.gateways = append(f.gateways, gateway)
		gateway.start(i)
	}
}

func simSettings(gateways int) policy.Settings {
	settings := testSettings()
	settings.Gateways = gateways
	settings.Classes = []policy.Class{{Deadline: simClientTimeout,
		Idempotency: policy.Idempotent}}
	settings.Plans[1] = policy.Plan{Rate: 1e5, Burst: 1e6} // so large that quotas have no effect
	settings.SlowStartCapacity, settings.SlowStartDuration = 0.27, 18*time.Second
	settings.OverloadMultiple, settings.OverloadDuration = 2.5, 3*time.Second
	settings.MaxAttempts = 4
	return settings
}

// receive sends a request to a random gateway, chosen by its share of the traffic. The client
// retries at once if the request is not served, up to the given number of times.
func (f *simFleet) receive(retries int) {
	at := f.rng.Float64() * f.cumulativeWeights[len(f.cumulativeWeights)-1]
	i, _ := slices.BinarySearch(f.cumulativeWeights, at)
	gateway := f.gateways[i]
	event := policy.RequestReceived{Plan: 1, Tenant: uint64(i)<<8 | uint64((f.requests+1)%5),
		Timeout: simClientTimeout, Units: 1, TenantGateways: 1}
	f.send(gateway, event, func(answer simAnswer) {
		switch {
		case answer.outcome == simServed:
			f.succeeded++
		case answer.outcome != simGaveUp && retries > 0:
			f.After(simOneWayLatency, func() { f.receive(retries - 1) })
		}
	})
}

// send passes a request of a client to a gateway under a new ID, and the answer to onAnswer. The
// client gives up, without another answer, when the event's timeout has passed.
func (f *simFleet) send(gateway *simGateway, event policy.RequestReceived, onAnswer func(simAnswer)) {
	f.requests++
	event.RequestID = fmt.Sprintf("%016x", f.requests)
	incarnation := gateway.incarnation
	request := &simRequest{id: event.RequestID, class: event.Class, sentAt: f.Now, deadline: f.Now + event.Timeout, onAnswer: onAnswer}
	gateway.requests[request.id] = request
	f.After(event.Timeout, func() {
		if gateway.incarnation == incarnation && !request.done {
			gateway.answer(request.id, simAnswer{outcome: simGaveUp})
			gateway.step(policy.ClientDisconnected{RequestID: request.id})
		}
		f.After(time.Second, func() { delete(gateway.requests, request.id) })
	})
	gateway.step(event)
}

// generateRequests sends requests at random intervals, on average rate a second, until a time.
func (f *simFleet) generateRequests(rate float64, until time.Duration, retries int) {
	gap := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
	if f.Now+gap < until {
		f.After(gap, func() {
			f.receive(retries)
			f.generateRequests(rate, until, retries)
		})
	}
}

// sendUpdate delivers a discovery update to every gateway after a random delay of up to simMaxUpdateDelay.
func (f *simFleet) sendUpdate(scope policy.UpdateScope, endpoints ...policy.Endpoint) {
	for _, gateway := range f.gateways {
		incarnation := gateway.incarnation
		f.After(time.Duration(f.rng.Float64()*float64(simMaxUpdateDelay)), func() {
			if gateway.incarnation == incarnation {
				gateway.step(policy.EndpointsUpdated{Scope: scope, Endpoints: endpoints})
			}
		})
	}
}

// servingEndpoints returns the complete endpoint list of discovery.
func (f *simFleet) servingEndpoints() (list []policy.Endpoint) {
	for _, endpoint := range f.endpoints {
		if endpoint.State == policy.Serving && !endpoint.crashed {
			list = append(list, endpoint.Endpoint)
		}
	}
	return list
}

// addEndpoint adds an endpoint that started at a time; 0 makes it warm.
func (f *simFleet) addEndpoint(id string, startedAt time.Duration) policy.Endpoint {
	endpoint := &simEndpoint{fleet: f, coreFreeAt: make([]time.Duration, f.cores),
		Endpoint: policy.Endpoint{ID: id, Weight: 1, StartedAt: startedAt, Zone: len(f.endpoints) % 3}}
	f.endpointsByID[id] = endpoint
	f.endpoints = append(f.endpoints, endpoint)
	return endpoint.Endpoint
}

// peakLoadRatio returns the highest load of any endpoint while it is warming up, relative to
// the allowed load. The load is the number of requests received in a window of the length
// OverloadDuration. The allowed load is N + 2*sqrt(N) + 2, where N is OverloadMultiple times
// the number of requests that the endpoint can serve in the window with its capacity at the
// start of the window.
func (f *simFleet) peakLoadRatio() (peak float64) {
	for _, endpoint := range f.endpoints {
		if endpoint.StartedAt != 0 {
			peak = max(peak, endpoint.peakLoadRatio())
		}
	}
	return peak
}

// simGateway is one gateway of the fleet.
type simGateway struct {
	fleet       *simFleet
	policy      *policy.Gateway
	incarnation int
	requests    map[string]*simRequest
}

// simRequest is one request of a client.
type simRequest struct {
	id       string
	class    int
	sentAt   time.Duration
	deadline time.Duration
	attempts []simAttempt
	done     bool
	onAnswer func(simAnswer)
}

// simOutcome is how a request ended for its client.
type simOutcome int

const (
	simServed simOutcome = iota
	simRejected
	simFailed
	simGaveUp // without an answer
)

// simAnswer is a request's final answer.
type simAnswer struct {
	outcome    simOutcome
	retryAfter time.Duration // of a rejection; 0: none
	latency    time.Duration // since the request was sent
}

type simAttempt struct {
	startedAt time.Duration
	endpoint  string
	ended     bool
}

// start starts a new incarnation of the gateway, without any state of the previous one.
func (g *simGateway) start(gatewayIndex int) {
	settings := g.fleet.settings
	settings.GatewayIndex, settings.Seed = gatewayIndex, uint64(gatewayIndex+1000*g.incarnation+1)
	gateway, err := policy.New(g.fleet.Now, settings)
	if err != nil {
		g.fleet.t.Fatal(err)
	}
	g.incarnation++
	g.policy, g.requests = gateway, map[string]*simRequest{}
	g.step(policy.EndpointsUpdated{Scope: policy.CachedUpdate, Endpoints: g.fleet.servingEndpoints()})
}

// step passes an event to the gateway and carries out the resulting actions.
func (g *simGateway) step(event policy.Event) {
	for _, action := range g.policy.Step(g.fleet.Now, event, nil) {
		switch action := action.(type) {
		case policy.StartTimer:
			g.stepAfter(action.After, policy.TimerFired{TimerID: action.TimerID})
		case policy.AddToCounter:
			g.stepAfter(ms, g.fleet.counter.add(action))
		case policy.StartAttempt:
			g.startAttempt(action)
		case policy.Reject:
			g.answer(action.RequestID, simAnswer{outcome: simRejected, retryAfter: action.RetryAfter})
		case policy.Fail:
			g.answer(action.RequestID, simAnswer{outcome: simFailed})
		case policy.CancelAttempt:
			if request := g.requests[action.RequestID]; request != nil {
				g.endAttempt(request, action.Attempt, policy.Canceled, 0)
			}
		}
	}
}

// stepAfter passes in an event after a delay, unless the gateway has restarted by then.
func (g *simGateway) stepAfter(after time.Duration, event policy.Event) {
	incarnation := g.incarnation
	g.fleet.After(after, func() {
		if g.incarnation == incarnation {
			g.step(event)
		}
	})
}

// answer ends a request, unless it has ended.
func (g *simGateway) answer(id string, answer simAnswer) {
	request := g.requests[id]
	if request == nil || request.done {
		return
	}
	request.done = true
	answer.latency = g.fleet.Now - request.sentAt
	request.onAnswer(answer)
}

func (g *simGateway) endAttempt(request *simRequest, number int, outcome policy.Outcome, utilization float64) {
	attempt := &request.attempts[number]
	if attempt.ended {
		return
	}
	attempt.ended = true
	if outcome == policy.Succeeded {
		g.answer(request.id, simAnswer{outcome: simServed})
	}
	g.step(policy.AttemptEnded{RequestID: request.id, Attempt: number, Endpoint: attempt.endpoint, Outcome: outcome,
		Latency: g.fleet.Now - attempt.startedAt, RequestDone: request.done,
		Report: policy.LoadReport{Utilization: &utilization}})
}

func (g *simGateway) startAttempt(action policy.StartAttempt) {
	f := g.fleet
	request, endpoint := g.requests[action.RequestID], f.endpointsByID[action.Endpoint]
	number := len(request.attempts)
	request.attempts = append(request.attempts, simAttempt{startedAt: f.Now, endpoint: action.Endpoint})
	until := request.deadline - simAnswerMargin
	if action.Timeout > 0 {
		until = min(until, f.Now+action.Timeout)
	}
	incarnation := g.incarnation
	end := func(outcome policy.Outcome) {
		if g.incarnation == incarnation {
			g.endAttempt(request, number, outcome, endpoint.utilization)
		}
	}
	f.After(until-f.Now, func() { end(policy.TimedOut) })
	f.After(simOneWayLatency, func() { endpoint.receive(request.class, until, end) })
}
