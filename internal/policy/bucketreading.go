package policy

import (
	"math"
	"time"
)

const (
	bucketEpochLength = 25 * time.Second // for which one counter key holds a tenant's bucket
	bucketTTL         = time.Minute      // for which it is kept: also while the next one is in use
	maxSurplus        = 0.25             // part of the burst by which a total may show more than a full bucket
	lossThreshold     = 0.5              // part of the burst that a total must lack for the counter to have lost units
	minCorrection     = 1.0              // units by which an estimate must be off for a call of its own
)

// bucketReading is what the counter last told of a tenant's shared bucket. The counter
// holds the units taken in an epoch; the tokens left follow from the epoch's age.
type bucketReading struct {
	epoch      int64   // that total is of
	total      float64 // units taken in the epoch, those of this gateway included
	tokens     float64 // units left in the bucket
	sufficient bool    // it held the units of the request that asked
	at         Time    // when; 0: never
}

func (b *bucketReading) known() bool { return b.at > 0 }

// tokensAt returns the tokens at a later time if no gateway took any since.
func (b *bucketReading) tokensAt(now Time, plan *Plan) float64 {
	return b.tokens + (now-b.at).Seconds()*plan.Rate
}

// take counts units that this gateway took.
func (b *bucketReading) take(units float64) {
	b.total += units
	b.tokens -= units
}

// bucketPhase shifts a tenant's epochs, alike at all gateways, to spread the load on
// the counter.
func (t *tenantState) bucketPhase() Time { return Time(splitMix64(t.key) % uint64(bucketEpochLength)) }

// bucketEpoch returns the number of the tenant's running epoch.
func (t *tenantState) bucketEpoch(now Time) int64 {
	return int64((now - t.bucketPhase()) / bucketEpochLength)
}

// bucketAge returns how long ago an epoch began.
func (t *tenantState) bucketAge(epoch int64, now Time) time.Duration {
	return now - t.bucketPhase() - Time(epoch)*bucketEpochLength
}

// bucketKey returns the counter key of the tenant's bucket in an epoch.
func (t *tenantState) bucketKey(epoch int64) uint64 {
	return splitMix64(t.key^splitMix64(^uint64(epoch))) >> 1
}

// applyBucketTotal takes the total of a tenant's bucket, without what the call itself added,
// and returns the tokens left. It corrects the counter where the total shows more than
// a full bucket, where units were lost, and in a new epoch.
func (g *Gateway) applyBucketTotal(t *tenantState, epoch int64, total float64) float64 {
	plan, key := t.plan, t.bucketKey(epoch)
	refilled := t.bucketAge(epoch, g.now).Seconds() * plan.Rate
	if lost := t.lostUnits(epoch, total); lost > 0 {
		g.addToCounter(key, lost, bucketTTL, ignoreReply)
		total += lost
	} else if math.Abs(total) < unitTolerance && refilled < plan.Burst {
		g.carryOverTokens(t, epoch)
	}
	tokens := plan.Burst + refilled - total
	if surplus := tokens - plan.Burst; surplus > maxSurplus*plan.Burst {
		g.addToCounter(key, surplus, bucketTTL, ignoreReply)
		total += surplus
		tokens = plan.Burst
	}
	t.sharedBucket = bucketReading{epoch: epoch, total: total, tokens: tokens, at: g.now}
	return tokens
}

// lostUnits returns the units that the counter had in this epoch and has no more, 0 if
// it lost none to speak of.
func (t *tenantState) lostUnits(epoch int64, total float64) float64 {
	if !t.sharedBucket.known() || t.sharedBucket.epoch != epoch {
		return 0
	}
	lost := t.sharedBucket.total - total
	if lost <= max(lossThreshold*t.plan.Burst, 2*t.largestRequest) {
		return 0
	}
	return lost
}

// settleBucketCharge corrects the bucket by the actual units of a request that was charged to it,
// where the counter has calls to spare.
func (g *Gateway) settleBucketCharge(r *request, actualUnits float64) {
	t := r.tenant
	correction := actualUnits - r.units
	if !r.chargedToSharedBucket || math.Abs(correction) < minCorrection || !g.counterBudget.unrestricted() {
		return
	}
	t.sharedBucket.take(correction)
	g.addToCounter(t.bucketKey(t.bucketEpoch(g.now)), correction, bucketTTL, ignoreReply)
}

// carryOverTokens begins a new epoch with what the last one left in the bucket.
func (g *Gateway) carryOverTokens(t *tenantState, epoch int64) {
	lastEpoch := epoch - 1
	fullTokens := t.plan.Burst + t.bucketAge(lastEpoch, g.now).Seconds()*t.plan.Rate
	g.addToCounter(t.bucketKey(lastEpoch), 0, bucketTTL, func(reply CounterReplied) {
		missing := t.plan.Burst - (fullTokens - reply.Total)
		if reply.Outcome == Succeeded && reply.Total > 0 && missing > unitTolerance {
			g.addToCounter(t.bucketKey(epoch), missing, bucketTTL, ignoreReply)
		}
	})
}
