package policy

// warmth is the part of a warm server's work that a server may be sent, 1 when warm.
func (g *Gateway) warmth(s *server) float64 {
	age := g.now - s.StartedAt
	if s.StartedAt <= 0 || age >= g.set.SlowStartDuration {
		return 1
	}
	return g.set.SlowStartCapacity + (1-g.set.SlowStartCapacity)*max(age.Seconds(), 0)/g.set.SlowStartDuration.Seconds()
}
