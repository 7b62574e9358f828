package policy

import (
	"math"
	"time"
)

const (
	ratioGain    = 0.05             // weight of one answer in a server's slowness: work varies widely
	slotMost     = 4.0              // times the usual; beyond, one long request proves no more
	slotGain     = 0.02             // least weight of one answer in a class's time for a slot
	others       = 1.0              // attempts of other gateways taken to be at a server beside ours
	subset       = 16               // servers among which a gateway chooses: it meets each often
	forget       = 10 * time.Second // an unused server's slowness fades to the usual over this
	errorPenalty = 8.0              // an error costs more than a wait: it may be final
	busyGain     = 0.05             // weight of one report in the mean load of the servers
	panicShare   = 0.5              // with fewer servers than this left, suspicion is not believed
	jitter       = 0.15             // random spread of the expected times, against herding
	coldMost     = 0.6              // part of FallMultiple that a cold server may have of the mean work
	zoneAversion = 2.0              // expected time grows by this times the price of leaving the zone
)

// pick returns the server on which an attempt of r should end first, and when that is, in seconds.
func (g *Gateway) pick(r *request) (*server, float64) {
	listed, fit := 0, 0
	for _, s := range g.servers {
		if s.listed {
			listed++
			if g.judge(s); !s.suspended {
				fit++
			}
		}
	}
	// When most look bad, the cause is not with them: go by the expected times alone.
	believe := float64(fit) >= panicShare*float64(listed)
	var best, cold *server
	bestTime, bestRank, room := 0.0, math.Inf(1), subset
	able, coldAble, reach := 0.0, 0.0, 0.0 // of those in reach, in warm servers: can do, cold ones' part, all
	for _, s := range g.servers {
		if !s.listed || !r.maySendTo(s, g.now) {
			continue
		}
		if room--; room < 0 && best != nil {
			break
		}
		t := g.expected(s, r.class)
		rank := t / math.Sqrt(s.ratio) * (1 + jitter*g.rng.Float64())
		rank *= 1 + errorPenalty*max(s.errors-g.errors, 0)
		if s.Zone != g.set.Zone {
			rank *= 1 + zoneAversion*g.set.CrossZoneCost
		}
		f := g.warmth(s)
		able, reach = able+f, reach+1
		switch {
		case s.suspended && believe:
			if !g.mayTry(s, r) {
				continue
			}
			rank = 0
		case f < 1:
			if coldAble += f; g.rng.Float64()*coldAble < f {
				cold = s
			}
			continue
		}
		if rank < bestRank {
			best, bestTime, bestRank = s, t, rank
		}
	}
	// A cold server is drawn for its part of the work, whatever its times tell: for what it surely can do of
	// what all in reach can, so that neither warm nor cold ones have more than their share. But of the mean
	// work it gets no more than coldMost, also where too few are left for that work, and of work that nobody
	// answers next to nothing: all gateways together stay well below what makes it fall over.
	share := min(1/able, max(coldMost*g.set.OverloadMultiple, 1)/reach)
	if cold != nil && bestRank > 0 && g.rng.Float64() < coldAble*share*g.successRatio(listed) {
		best, bestTime = cold, g.expected(cold, r.class)
	}
	if best != nil && best.suspended && believe {
		best.trying, best.proven, bestTime = true, false, 0
	}
	return best, bestTime
}

// expected is a server's time for an attempt of a class in seconds, at least as long as it is silent.
// Errors are no part of it: they steer pick away from servers that have more than all share, but who fails
// has no queue that a refusal would shorten, and a server refused for its errors never gets to disprove
// them. This also keeps errors of our own side, or of the network, from shutting all servers out. It could
// harm where overload shows as errors only; there note and the further attempts' budget are what is left.
func (g *Gateway) expected(s *server, class int) float64 {
	ratio := 1 + (s.ratio-1)*math.Exp(-(g.now-s.ratioAt).Seconds()/forget.Seconds())
	t := g.slot[class] * ratio * g.queue(s.out)
	if s.unanswered > 0 && s.out > 0 {
		t = max(t, (g.now - s.silentFrom).Seconds())
	}
	return t
}

// queue guesses the attempts at a server, one more included: with many gateways each stands for several.
func (g *Gateway) queue(own int) float64 {
	return float64(own)*max(1, float64(g.set.Gateways)/idleKnows) + 1 + others
}
