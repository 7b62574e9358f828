package discovery

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// runner executes the schedule of a client: it makes the calls, waits for their results and for the
// times of the schedule, and passes lists on. All methods but fetch run in one goroutine.
type runner struct {
	client   *Client
	http     *http.Client
	schedule *schedule
	ctx      context.Context // ends the run
	origin   time.Time       // of the schedule's time

	results   chan callResult
	cancelers map[*call]context.CancelFunc // of the calls whose result has not come
	fetching  sync.WaitGroup
}

// callResult is the end of a call.
type callResult struct {
	call *call
	list List
	err  error
}

func newRunner(ctx context.Context, client *Client) *runner {
	r := &runner{
		client:    client,
		http:      &http.Client{Transport: client.Options.Transport},
		ctx:       ctx,
		origin:    time.Now(),
		results:   make(chan callResult),
		cancelers: map[*call]context.CancelFunc{},
	}
	options := &client.Options
	r.schedule = newSchedule(options.Timing, options.Seed, options.CachedList, func(c *call) { r.cancelers[c]() })
	return r
}

// run executes the schedule until the context ends, and waits for the end of all calls.
func (r *runner) run() {
	defer r.http.CloseIdleConnections()
	defer r.fetching.Wait()
	for r.ctx.Err() == nil {
		addressCtx, address := r.client.target(r.ctx)
		r.schedule.setAddress(address, r.now())
		if r.schedule.current != nil {
			r.awaitCurrent(addressCtx)
			continue
		}
		if delay := r.schedule.delay(r.now()); delay > 0 && !r.pause(addressCtx, delay) {
			continue
		}
		r.startCall()
	}
}

// now returns the schedule's time.
func (r *runner) now() time.Duration { return time.Since(r.origin) }

// pause waits for a duration. It returns false if that was interrupted, by the result of a late
// call, a change of the address, or the end of the run.
func (r *runner) pause(addressCtx context.Context, delay time.Duration) bool {
	pauseCtx, cancel := context.WithCancel(addressCtx)
	defer cancel()
	paused := make(chan struct{})
	go func() {
		defer close(paused)
		r.client.Options.Pause(pauseCtx, delay)
	}()
	select {
	case result := <-r.results:
		cancel()
		<-paused
		r.handle(result)
		return false
	case <-paused:
		return addressCtx.Err() == nil
	}
}

// startCall makes the schedule's next call.
func (r *runner) startCall() {
	c := r.schedule.start(r.now())
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancelers[c] = cancel
	r.fetching.Go(func() { r.fetch(ctx, c) })
}

// fetch makes a call and hands its result over, unless the run has ended.
func (r *runner) fetch(ctx context.Context, c *call) {
	list, err := fetch(ctx, r.http, c)
	select {
	case r.results <- callResult{call: c, list: list, err: err}:
	case <-r.ctx.Done():
	}
}

// awaitCurrent waits for the result of any call, until the current one is overdue, the address
// changes or the run ends.
func (r *runner) awaitCurrent(addressCtx context.Context) {
	c := r.schedule.current
	timer := time.NewTimer(c.startedAt + c.overdueAfter - r.now())
	defer timer.Stop()
	select {
	case result := <-r.results:
		r.handle(result)
	case <-timer.C:
		r.client.Options.Log.Debug("call to discovery is overdue", "address", c.address, "after", c.overdueAfter)
		r.schedule.overdue(r.now())
	case <-addressCtx.Done():
	}
}

// handle passes the result of a call to the schedule, and its list on if that is newer.
func (r *runner) handle(result callResult) {
	r.cancelers[result.call]()
	delete(r.cancelers, result.call)
	if result.err != nil {
		r.client.Options.Log.Debug("call to discovery failed", "err", result.err)
		if result.call == r.schedule.current {
			r.http.CloseIdleConnections() // so that the next call dials a new connection
		}
		r.schedule.failed(result.call, r.now())
		return
	}
	if r.schedule.answered(result.call, result.list.Generation, r.now()) {
		r.client.notify(result.list, result.call.fullList)
	}
}
