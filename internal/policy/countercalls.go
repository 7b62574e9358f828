package policy

import "time"

const (
	shareCut    = 0.8  // a failed counter call cuts the share of tries that call by this
	shareForget = 0.93 // and by this the share that went well before
	shareRegain = 1.25 // an answered one restores the share towards that by this
	shareGrow   = 1.01 // and beyond it by this
	shareLeast  = 0.03 // least such share: it finds out when the counter is back
	shareMost   = 2.0  // most; above 1 also tries call of which little is unknown
	countLate   = 0.4  // part of CountWait after which an answer tells that calls crowd
)

func (g *Gateway) count(name uint64, units float64, lives time.Duration, f func(CounterReplied)) {
	called := g.now
	g.counts[name] = append(g.counts[name], func(r CounterReplied) {
		switch {
		// A late answer tells of a line at the counter, in which those of all gateways wait for nothing.
		case r.Outcome != Succeeded || g.now-called > time.Duration(countLate*float64(g.set.CounterTimeout)):
			g.calling, g.went = max(g.calling*shareCut, shareLeast), g.went*shareForget
		case g.calling < g.went*shareCut:
			g.calling *= shareRegain
		default:
			g.calling = min(g.calling*shareGrow, shareMost)
			g.went = max(g.went, g.calling)
		}
		f(r)
	})
	g.do(AddToCounter{Key: name, Units: units, TTL: lives})
}
