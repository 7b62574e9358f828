package policy

import "time"

// slowStartFactor returns the share of its full load that an endpoint can serve now: below 1
// while it is warming up after a start, then 1.
func (s *Settings) slowStartFactor(now Time, ep *endpoint) float64 {
	age := now - ep.StartedAt
	if ep.StartedAt <= 0 || age >= s.SlowStartDuration {
		return 1
	}
	return s.warmUpFactor(age)
}

// warmUpFactor returns the slow-start factor at an age below SlowStartDuration: it grows
// linearly from SlowStartCapacity to 1.
func (s *Settings) warmUpFactor(age time.Duration) float64 {
	return s.SlowStartCapacity + (1-s.SlowStartCapacity)*max(age.Seconds(), 0)/s.SlowStartDuration.Seconds()
}
