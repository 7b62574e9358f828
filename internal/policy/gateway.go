package policy

import (
	"math/rand/v2"
	"time"
)

// seedStream is the constant second half of the random generator's seed. Only the first half,
// [Settings.Seed], differs between incarnations (runs of a gateway's process).
const seedStream = 0x62656c6c

// Gateway is the state machine of one gateway: it turns events into actions, as described
// in the package comment. It is not safe for concurrent use.
type Gateway struct {
	settings  Settings
	rng       *rand.Rand
	startedAt Time     // when this incarnation started
	now       Time     // time of the current event
	out       []Action // actions of the current event so far

	tenants  tenantTable
	requests map[string]*request

	timers        timerSet
	counterCalls  counterCalls
	counterBudget counterBudget
	stalls        stallDetector
	overQuota     overQuotaModel

	endpoints    endpointSet
	latencies    latencyEstimator
	outliers     outlierDetector
	throttle     throttle
	waitLimit    waitLimit
	balancer     balancer
	retryBudget  retryBudget
	hedgeLimiter hedgeLimiter
}

// New returns a gateway that starts at now with no state but its settings. For invalid
// settings it returns a [*SettingsError].
func New(now Time, settings Settings) (*Gateway, error) {
	if err := validateSettings(&settings); err != nil {
		return nil, err
	}
	g := &Gateway{
		settings:  settings,
		rng:       rand.New(rand.NewPCG(settings.Seed, seedStream)),
		startedAt: now,
		now:       now,

		tenants:  newTenantTable(settings.MaxTenants),
		requests: map[string]*request{},

		timers:        newTimerSet(),
		counterCalls:  counterCalls{},
		counterBudget: newCounterBudget(),
		stalls:        newStallDetector(now),
		overQuota:     newOverQuotaModel(len(settings.Plans)),

		endpoints:   newEndpointSet(settings.GatewayIndex),
		retryBudget: newRetryBudget(),
	}
	g.latencies = newLatencyEstimator(&g.settings)
	g.outliers = newOutlierDetector(&g.settings, g.emit)
	g.throttle = newThrottle(&g.settings, g.rng)
	g.balancer = newBalancer(g)
	return g, nil
}

// Step handles one event that happened at now. It appends the resulting actions to out,
// which the caller carries out in order.
func (g *Gateway) Step(now Time, ev Event, out []Action) []Action {
	g.now = now
	g.out = out
	g.tick()
	g.dispatch(ev)
	out = g.out
	g.out = nil
	return out
}

// dispatch calls the handler for the type of an event.
func (g *Gateway) dispatch(ev Event) {
	switch ev := ev.(type) {
	case EndpointsUpdated:
		g.endpointsUpdated(ev)
	case RequestReceived:
		g.requestReceived(ev)
	case AttemptEnded:
		g.attemptEnded(ev)
	case ResponseStarted:
		g.responseStarted(ev)
	case HealthCheckDone:
		g.healthChecked(ev)
	case ClientDisconnected:
		g.clientDisconnected(ev)
	case CounterReplied:
		g.counterReplied(ev)
	case TimerFired:
		g.timers.fire(ev.TimerID)
	}
}

// emit appends an action to the result of the current Step.
func (g *Gateway) emit(a Action) { g.out = append(g.out, a) }

// splitMix64 is the finalizer of SplitMix64, a fixed hash of 64 bits. All gateways must
// use the same one, because they derive counter keys from it.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// seconds converts a number of seconds to a Duration. It limits the number to 1e6, so that
// the Duration cannot overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e6) * float64(time.Second))
}
