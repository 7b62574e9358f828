package policy

// isTooLate reports whether an attempt that starts now would probably be answered after the client
// has given up, as the work ahead of it does not fit into the time left: its work would then be done
// for nobody and delay the others. expectedLatency is its expected latency in seconds, 0 for a recovery
// trial. Without an attempt of the class in flight, the expected latency may be out of date, and no
// answer would correct it, so a first attempt starts then.
func (g *Gateway) isTooLate(r *request, expectedLatency float64) bool {
	if len(r.attempts) == 0 && g.latencies.classes[r.classIndex].inFlight == 0 {
		return false
	}
	return g.latencies.withLikelyWait(r.classIndex, expectedLatency) > (r.deadline - g.now).Seconds()
}

// mayWaitForCounter reports whether r can wait for the reply to a counter call: if none comes, the
// client must still wait long enough for an attempt. After a stall, requests may have waited long
// already.
func (g *Gateway) mayWaitForCounter(r *request) bool {
	timeLeft := (r.deadline - g.now - g.settings.CounterTimeout).Seconds()
	return !g.stalls.recentlyStalled(g.now) && timeLeft > g.latencies.idleLatency(r.classIndex)
}
