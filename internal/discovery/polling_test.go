package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/policy"
	"swiftpitch/internal/testsupport"
)

// newPollingClient returns a client of a node in a fleet that polls discovery. The node has a cached
// list of a version.
func newPollingClient(address string, seed uint64, gateways int, cachedVersion int64) *Client {
	return New(address, Options{
		Lock:       &sync.Mutex{},
		Timing:     NewTiming(&config.Settings{DiscoveryMode: "ask", Gateways: gateways}),
		Seed:       seed,
		CachedList: List{Generation: cachedVersion, Instances: []Instance{{ID: "s-0", HostPort: "127.0.0.1:9", Lifecycle: Serving}}},
		OnList:     func(List, policy.UpdateScope) {},
		Log:        slog.New(slog.DiscardHandler),
	})
}

// pauseRecorder replaces the pauses between the calls of a client that polls discovery: it records
// and checks them without waiting, and stops the client after a number of failed calls.
type pauseRecorder struct {
	t            *testing.T
	stop         context.CancelFunc
	failures     int
	pauses       []time.Duration
	pauseEndedAt time.Time // when the last pause ended and the next call began
}

// pause takes the place of the client's pause before a call.
func (p *pauseRecorder) pause(_ context.Context, wait time.Duration) {
	if len(p.pauses) > 0 {
		minInterval := time.Duration((1 - pollIntervalJitter) * float64(maxPollInterval))
		if interval := wait + time.Since(p.pauseEndedAt); interval < minInterval {
			p.t.Errorf("a call %v after the previous one, want at least %v", interval, minInterval)
		}
		if wait+pollResponseAllowance >= NotificationDeadline {
			p.t.Errorf("a pause of %v before a call, too long to learn of a change within %v", wait, NotificationDeadline)
		}
	}
	p.pauses = append(p.pauses, wait)
	if len(p.pauses) > p.failures {
		p.stop()
	}
	p.pauseEndedAt = time.Now()
}

// TestPollsAreSpreadAcrossFleet checks that nodes that poll discovery and start together do not
// overload it: their first calls are spread over the jitter window and ask for changes instead of
// the full list. After a failed call a node pauses so long that the calls of the whole fleet stay
// within the service's capacity, but short enough to learn of a change before
// NotificationDeadline.
func TestPollsAreSpreadAcrossFleet(t *testing.T) {
	uris := make(chan string, 1024)
	service := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		uris <- req.RequestURI
		return testsupport.Respond(c, "503 Service Unavailable", "")
	})
	const fleet, failures = 80, 4
	const window = maxJitterWindow // the longest window, as 80 nodes would need a longer one
	quarters := [4]int{}           // nodes by the quarter of the window of their first call
	for seed := range uint64(fleet) {
		client := newPollingClient(service.Addr, seed, fleet, 41)
		ctx, stop := context.WithCancel(t.Context())
		recorder := &pauseRecorder{t: t, stop: stop, failures: failures, pauseEndedAt: time.Now()}
		client.Options.Pause = recorder.pause
		client.Run(ctx)
		pauses := recorder.pauses
		if len(pauses) != failures+1 || pauses[0] < 0 || pauses[0] >= window {
			t.Fatalf("pauses %v, want %d, the first shorter than %v", pauses, failures+1, window)
		}
		quarters[pauses[0]*4/window]++
	}
	for range fleet * failures {
		if uri := <-uris; !strings.HasPrefix(uri, "/api/targets?index=41&") {
			t.Fatalf("call %q, want a call for the changes after generation 41", uri)
		}
	}
	for i, calls := range quarters {
		if calls < fleet/4/3 || calls > fleet/4*2 {
			t.Errorf("%d of %d first calls in quarter %d of %v, want %d to %d", calls, fleet, i, window, fleet/4/3, fleet/4*2)
		}
	}
}

// TestUnresponsivePollsAreStaggered checks a large fleet that polls one discovery service. Calls
// that get no response from the same moment on time out at different times, and each node makes
// the next call early enough to learn of a change before NotificationDeadline.
func TestUnresponsivePollsAreStaggered(t *testing.T) {
	const fleet = 12
	waits := map[int]bool{}
	for seed := range uint64(fleet) {
		for _, ms := range longPollWaits(t, seed) {
			waits[ms] = true
		}
	}
	if len(waits) < fleet {
		t.Errorf("%d calls have %d different long-poll waits, want at least %d", 2*fleet, len(waits), fleet)
	}
}

// longPollWaits runs a node whose third call to discovery gets no response, and returns the
// long-poll waits of its second and third call in milliseconds.
func longPollWaits(t *testing.T, seed uint64) [2]int {
	t.Helper()
	const maxWait = 100 * time.Millisecond
	var calls atomic.Int32
	silent, waits := make(chan struct{}), make(chan int, 64)
	defer close(silent)
	service := testsupport.StartFakeServer(t, func(c net.Conn, req *http.Request, _ []byte) bool {
		var ms int
		fmt.Sscan(req.URL.Query().Get("wait"), &ms)
		waits <- ms
		if calls.Add(1) == 3 {
			<-silent
			return false
		}
		testsupport.Respond(c, "200 OK", `{"generation":8,"reset":false,"instances":[]}`)
		return calls.Load() < 3
	})
	client := newPollingClient(service.Addr, seed, 300, 0)
	client.Options.Timing.LongPollWait = maxWait
	client.Options.Timing.ResponseMargin = maxWait
	ctx, stop := context.WithCancel(t.Context())
	pauses := 0
	client.Options.Pause = func(_ context.Context, wait time.Duration) {
		pauses++
		if pauses != 2 { // the first one precedes the first call
			return
		}
		if wait > NotificationDeadline-pollResponseAllowance || wait <= 0 {
			t.Errorf("seed %d: a pause of %v after the call without a response, want above 0 and at most %v",
				seed, wait, NotificationDeadline-pollResponseAllowance)
		}
		stop()
	}
	client.Run(ctx)
	if ms := <-waits; ms > 1 {
		t.Errorf("seed %d: the first call has a long-poll wait of %d ms, want at most 1 ms, as it may get no response", seed, ms)
	}
	var longPolls [2]int
	for i := range longPolls {
		longPolls[i] = <-waits
		if float64(longPolls[i]) < minLongPollWaitFraction*float64(maxWait.Milliseconds())-1 || longPolls[i] > int(maxWait.Milliseconds()) {
			t.Errorf("seed %d: a long-poll wait of %d ms, want %v to 1 times %v", seed, longPolls[i], minLongPollWaitFraction, maxWait)
		}
	}
	return longPolls
}
