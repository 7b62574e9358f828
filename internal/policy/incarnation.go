package policy

import "time"

const (
	recordRenewalInterval = 2 * time.Second        // between renewals of the record at the counter
	recordEpochLength     = 20 * time.Second       // the record has a new key this often
	recordTTL             = time.Minute            // for which the counter keeps it: over the next two epochs
	recordRetryDelay      = 100 * time.Millisecond // until the counter is asked again that did not answer
)

// incarnationRecord is what this gateway's incarnations leave at the counter for the
// next one. A process that starts anew does not know what an earlier incarnation
// spent of the hard limits; where there was none, it may use its shares at once.
type incarnationRecord struct {
	gatewayIndex int
	startedAt    Time
	requested    bool // loading has begun
	isFirst      bool // the counter holds no record of an earlier incarnation
}

// key is the record's counter key in the epoch of a time, or in one of the epochs before.
func (r *incarnationRecord) key(at Time, epochsBefore int64) uint64 {
	epoch := int64(at/recordEpochLength) - epochsBefore
	return splitMix64(^splitMix64(uint64(r.gatewayIndex))^splitMix64(uint64(epoch))) >> 1
}

// requestIncarnationRecord loads the record, the first time that it is needed.
func (g *Gateway) requestIncarnationRecord() {
	if g.incarnation.requested {
		return
	}
	g.incarnation.requested = true
	g.loadIncarnationRecord(0)
}

// loadIncarnationRecord looks for the record of an earlier incarnation in the epoch of
// the start and then in the one before. Without any, hard limit shares are whole.
func (g *Gateway) loadIncarnationRecord(epochsBefore int64) {
	key := g.incarnation.key(g.incarnation.startedAt, epochsBefore)
	g.addToCounter(key, 0, recordTTL, func(reply CounterReplied) {
		switch {
		case reply.Outcome != Succeeded:
			g.startTimer(recordRetryDelay, func() { g.loadIncarnationRecord(epochsBefore) })
			return
		case reply.Total == 0 && epochsBefore == 0:
			g.loadIncarnationRecord(1)
			return
		case reply.Total == 0:
			g.incarnation.isFirst = true
			for _, t := range g.tenants {
				t.hardLimit.release()
			}
		}
		g.renewIncarnationRecord()
	})
}

// renewIncarnationRecord tells later incarnations of this one; often, as the counter
// may lose what it holds.
func (g *Gateway) renewIncarnationRecord() {
	g.addToCounter(g.incarnation.key(g.now, 0), 1, recordTTL, ignoreReply)
	g.startTimer(recordRenewalInterval, g.renewIncarnationRecord)
}
