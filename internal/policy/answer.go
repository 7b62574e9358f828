package policy

import "time"

// keepNone makes cancelAttemptsExcept cancel every attempt.
const keepNone = -1

// rejectOrFail ends a request that was not served. It rejects the request if a retry by the
// client is safe, and fails it otherwise. The reason for it is expected to last for a delay, see
// [Gateway.rejectWithDelay].
func (g *Gateway) rejectOrFail(r *request, delay time.Duration) {
	if r.clientMayRetry() {
		g.rejectWithDelay(r.id, delay)
	} else {
		g.emit(Fail{RequestID: r.id})
	}
	g.finish(r)
}

// clientDisconnected ends a request whose client has disconnected.
func (g *Gateway) clientDisconnected(ev ClientDisconnected) {
	if r := g.requests[ev.RequestID]; r != nil {
		g.finish(r)
	}
}

// finish marks a request as done. It also cancels the attempts in flight, unless a response
// has begun to stream to the client.
func (g *Gateway) finish(r *request) {
	if !r.done && !r.responseStarted {
		g.cancelAttemptsExcept(r, keepNone)
	}
	r.done = true
	g.removeIfDone(r)
}

// cancelAttemptsExcept cancels the attempts in flight except number keep, if attempts may
// be canceled.
func (g *Gateway) cancelAttemptsExcept(r *request, keep int) {
	if !g.settings.AllowCancel {
		return
	}
	for i := range r.attempts {
		if i != keep && r.attempts[i].inFlight {
			g.emit(CancelAttempt{RequestID: r.id, Attempt: i})
		}
	}
}

// removeIfDone removes a request that is done and has no attempt in flight.
func (g *Gateway) removeIfDone(r *request) {
	if r.done && r.inFlight() == 0 {
		delete(g.requests, r.id)
	}
}
