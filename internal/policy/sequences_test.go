package policy_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

// TestRandomEventsKeepInvariants plays random sequences of valid events and checks every action against an independent
// model of the rules, the oracle.
func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range uint64(30) {
		first, second := runSequence(t, seed), runSequence(t, seed)
		if !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d: two runs with the same events gave different actions", seed)
		}
	}
}

// execution is what an attempt's outcome, if any, tells about whether its request ran.
type execution int

const (
	attemptInFlight execution = iota
	attemptNeverRan
	attemptMayHaveRun
)

// oracleAttempt is the oracle's record of an attempt that the gateway started.
type oracleAttempt struct {
	endpoint  string
	startedAt time.Duration
	expiresAt time.Duration
	execution execution
}

// oracleRequest is the oracle's record of a request with all its attempts.
type oracleRequest struct {
	class    int
	deadline time.Duration
	attempts []*oracleAttempt
	answered bool
}

// oracle drives one gateway and checks every action against the rules that the gateway must follow.
type oracle struct {
	t          *testing.T
	seed       uint64
	settings   policy.Settings
	harness    *harness
	requests   map[string]*oracleRequest
	requestIDs []string // in order of arrival
	zones      map[string]int
	drainingID string // ID of the endpoint that must get no new attempts; "" for none
	actions    []policy.Action
}

// runSequence plays the random events of a seed, checks the actions and returns them all.
func runSequence(t *testing.T, seed uint64) []policy.Action {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	settings := testSettings()
	settings.AllowCancel, settings.AllowHedging = seed%2 == 0, seed%3 != 0
	o := &oracle{t: t, seed: seed, settings: settings, harness: newHarness(t, settings, 5),
		requests: map[string]*oracleRequest{}, zones: map[string]int{}}
	for i := range 5 {
		o.zones[testEndpoint(i).ID] = testEndpoint(i).Zone
	}
	for i := range 1500 {
		o.check(o.harness.advance(time.Duration(rng.IntN(30))*ms, replyWithTotal(float64(rng.IntN(20)))))
		if i == 700 {
			o.drain(testEndpoint(3))
		}
		o.receiveRequest(rng)
		o.endAttempts(rng)
	}
	o.checkAllAnswered()
	return o.actions
}

// drain marks an endpoint as draining.
func (o *oracle) drain(endpoint policy.Endpoint) {
	endpoint.State = policy.Draining
	o.drainingID = endpoint.ID
	o.check(o.harness.step(policy.EndpointsUpdated{Scope: policy.IncrementalUpdate, Endpoints: []policy.Endpoint{endpoint}}))
}

// receiveRequest passes in a request of a random class, plan and tenant.
func (o *oracle) receiveRequest(rng *rand.Rand) {
	h := o.harness
	h.requests++
	id := fmt.Sprintf("%016x", h.requests)
	timeout := time.Duration(500+rng.IntN(1500)) * ms
	request := &oracleRequest{class: rng.IntN(4), deadline: h.now + timeout}
	o.requests[id] = request
	o.requestIDs = append(o.requestIDs, id)
	o.check(h.step(policy.RequestReceived{RequestID: id, Class: request.class, Plan: rng.IntN(4), Tenant: uint64(rng.IntN(6)),
		Timeout: timeout, Units: float64(1 + rng.IntN(3)), TenantGateways: 3}))
}

// endAttempts ends all expired attempts, and some of the others at random.
func (o *oracle) endAttempts(rng *rand.Rand) {
	for _, id := range o.requestIDs {
		request := o.requests[id]
		for n := 0; n < len(request.attempts); n++ { // ending one may start another
			attempt := request.attempts[n]
			expired := o.harness.now >= attempt.expiresAt
			if attempt.execution != attemptInFlight || !expired && rng.IntN(8) > 0 {
				continue
			}
			outcome := policy.TimedOut
			if !expired {
				outcome = policy.Outcome(rng.IntN(6))
			}
			o.endAttempt(id, n, outcome)
		}
	}
}

func (o *oracle) endAttempt(id string, n int, outcome policy.Outcome) {
	request := o.requests[id]
	attempt := request.attempts[n]
	attempt.execution = attemptMayHaveRun
	if outcome == policy.Overloaded || outcome == policy.ConnectFailed {
		attempt.execution = attemptNeverRan
	}
	if outcome == policy.Succeeded {
		request.answered = true
	}
	o.check(o.harness.step(policy.AttemptEnded{RequestID: id, Attempt: n, Endpoint: attempt.endpoint, Outcome: outcome,
		Latency: o.harness.now - attempt.startedAt, RequestDone: request.answered}))
}

// check checks the actions of one step against the rules and updates the oracle's records.
func (o *oracle) check(actions []policy.Action) {
	o.t.Helper()
	o.actions = append(o.actions, actions...)
	for _, action := range actions {
		switch action := action.(type) {
		case policy.StartAttempt:
			o.checkStart(action)
		case policy.Reject:
			o.checkReject(action)
		case policy.Fail:
			o.answer(action.RequestID)
		case policy.CancelAttempt:
			if !o.settings.AllowCancel {
				o.t.Fatalf("seed %d: attempt %d of %s canceled although AllowCancel is false", o.seed, action.Attempt, action.RequestID)
			}
		}
	}
}

func (o *oracle) checkStart(start policy.StartAttempt) {
	o.t.Helper()
	request := o.requests[start.RequestID]
	inFlight := 0
	for _, earlier := range request.attempts {
		if earlier.execution == attemptInFlight {
			inFlight++
		}
		if o.mayRunTwice(request, earlier, start.Endpoint) {
			o.t.Fatalf("seed %d: class %d: attempt at %s may run the request again after %+v", o.seed, request.class, start.Endpoint, *earlier)
		}
	}
	if request.answered || start.Endpoint == o.drainingID || len(request.attempts) >= o.settings.MaxAttempts ||
		inFlight > 1 || inFlight > 0 && !o.settings.AllowHedging {
		o.t.Fatalf("seed %d: attempt of %s at %s is not allowed: answered %v, draining endpoint %q, %d attempts, %d in flight",
			o.seed, start.RequestID, start.Endpoint, request.answered, o.drainingID, len(request.attempts), inFlight)
	}
	expiresAt := request.deadline
	if start.Timeout > 0 {
		expiresAt = min(expiresAt, o.harness.now+start.Timeout)
	}
	request.attempts = append(request.attempts,
		&oracleAttempt{endpoint: start.Endpoint, startedAt: o.harness.now, expiresAt: expiresAt})
}

// mayRunTwice reports whether a new attempt at endpoint could repeat a request that the earlier attempt may have run,
// although its class forbids that.
func (o *oracle) mayRunTwice(request *oracleRequest, earlier *oracleAttempt, endpoint string) bool {
	class := o.settings.Classes[request.class]
	if earlier.execution == attemptNeverRan || class.Idempotency == policy.Idempotent {
		return false
	}
	return class.Idempotency == policy.NonIdempotent || o.harness.now > earlier.startedAt+class.DedupWindow ||
		class.DedupScope == policy.DedupZone && o.zones[earlier.endpoint] != o.zones[endpoint]
}

// checkReject checks that a rejected request cannot have run, unless its class makes a retry by the client safe.
func (o *oracle) checkReject(reject policy.Reject) {
	o.t.Helper()
	request := o.requests[reject.RequestID]
	class := o.settings.Classes[request.class]
	for _, attempt := range request.attempts {
		if attempt.execution != attemptNeverRan && (class.Idempotency == policy.NonIdempotent ||
			class.Idempotency == policy.IdempotentByKey && class.DedupScope != policy.DedupFleet) {
			o.t.Fatalf("seed %d: %s of class %d rejected although it may have run", o.seed, reject.RequestID, request.class)
		}
	}
	o.answer(reject.RequestID)
}

// answer records the final answer of a request and checks that it is the only one.
func (o *oracle) answer(id string) {
	o.t.Helper()
	if o.requests[id].answered {
		o.t.Fatalf("seed %d: %s got two answers", o.seed, id)
	}
	o.requests[id].answered = true
}

func (o *oracle) checkAllAnswered() {
	o.t.Helper()
	for _, id := range o.requestIDs {
		if request := o.requests[id]; !request.answered && o.harness.now > request.deadline+50*ms {
			o.t.Fatalf("seed %d: %s got no answer by its deadline %v", o.seed, id, request.deadline)
		}
	}
}
