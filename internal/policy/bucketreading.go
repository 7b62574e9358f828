package policy

import (
	"math"
	"time"
)

const (
	bucketEpochLength = 25 * time.Second // time for which one counter key holds a tenant's bucket
	bucketTTL         = time.Minute      // time for which the counter keeps that key: long enough to read it in the next epoch
	maxSurplus        = 0.25             // fraction of the burst by which a total may show more than a full bucket before it is corrected
	lossThreshold     = 0.5              // fraction of the burst by which a total must fall to count as a loss at the counter
	minCorrection     = 1.0              // units by which a charge must differ from the actual units to be corrected by a call
)

// bucketReading is the state of a tenant's shared bucket at the last reply of the counter.
// The counter holds the units taken in an epoch; the tokens left follow from that total and
// the epoch's age.
type bucketReading struct {
	epoch      int64   // epoch of the total
	total      float64 // units taken in the epoch, including those of this gateway
	tokens     float64 // units left in the bucket
	sufficient bool    // the bucket held the units of the request that made the call
	readAt     Time    // time of the reply; 0: no reply yet
}

// hasReading reports whether the bucket's total has been read from the counter yet.
func (b *bucketReading) hasReading() bool { return b.readAt > 0 }

// tokensAt returns the tokens that the bucket holds at a later time if no gateway has taken
// any since the reading.
func (b *bucketReading) tokensAt(now Time, plan *Plan) float64 {
	return b.tokens + (now-b.readAt).Seconds()*plan.Rate
}

// take records units that this gateway took after the reading.
func (b *bucketReading) take(units float64) {
	b.total += units
	b.tokens -= units
}

// bucketPhase returns the offset of a tenant's epochs. It depends on the tenant's key only,
// so that all gateways agree on it and the changes of epoch spread over time.
func (t *tenantState) bucketPhase() Time { return Time(splitMix64(t.key) % uint64(bucketEpochLength)) }

// bucketEpoch returns the index of the tenant's epoch at a time.
func (t *tenantState) bucketEpoch(now Time) int64 {
	return int64((now - t.bucketPhase()) / bucketEpochLength)
}

// bucketAge returns the time since an epoch began.
func (t *tenantState) bucketAge(epoch int64, now Time) time.Duration {
	return now - t.bucketPhase() - Time(epoch)*bucketEpochLength
}

// bucketKey returns the counter key of the tenant's bucket in an epoch.
func (t *tenantState) bucketKey(epoch int64) uint64 {
	return splitMix64(t.key^splitMix64(^uint64(epoch))) >> 1
}

// applyBucketTotal records the state of a tenant's bucket from its total at the counter, without
// the units that the call itself added, and returns the tokens left. It corrects the counter's total
// if that shows more than a full bucket, lacks units that were lost, or belongs to a new epoch.
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
	t.sharedBucket = bucketReading{epoch: epoch, total: total, tokens: tokens, readAt: g.now}
	return tokens
}

// lostUnits returns by how many units the counter's total for an epoch has fallen since the
// last reading, or 0 if the difference is too small to be a loss.
func (t *tenantState) lostUnits(epoch int64, total float64) float64 {
	if !t.sharedBucket.hasReading() || t.sharedBucket.epoch != epoch {
		return 0
	}
	lost := t.sharedBucket.total - total
	if lost <= max(lossThreshold*t.plan.Burst, 2*t.largestRequest) {
		return 0
	}
	return lost
}

// settleBucketCharge corrects the shared bucket by the actual units of a request that was
// charged to it, if the counter has calls to spare.
func (g *Gateway) settleBucketCharge(r *request, actualUnits float64) {
	t := r.tenant
	correction := actualUnits - r.units
	if !r.chargedToSharedBucket || math.Abs(correction) < minCorrection || !g.counterBudget.unrestricted() {
		return
	}
	t.sharedBucket.take(correction)
	g.addToCounter(t.bucketKey(t.bucketEpoch(g.now)), correction, bucketTTL, ignoreReply)
}

// carryOverTokens starts a new epoch with the tokens that the last one left in the bucket.
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
