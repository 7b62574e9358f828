package policy

import "time"

const (
	recordRenewalInterval = 2 * time.Second        // time between renewals of the record at the counter
	recordEpochLength     = 20 * time.Second       // time for which one counter key holds the record
	recordTTL             = time.Minute            // time for which the counter keeps the record: through the next two epochs
	recordRetryDelay      = 100 * time.Millisecond // delay before a failed read of the record is repeated
)

// incarnationRecord is the record at the counter by which an incarnation of this gateway,
// one run of its process, finds out whether there was an earlier one. An incarnation does
// not know how much an earlier one spent of the hard limits; if there was none, it may use
// its shares at once.
type incarnationRecord struct {
	gatewayIndex int
	startedAt    Time
	requested    bool // the record has been requested from the counter
	isFirst      bool // the counter holds no record of an earlier incarnation
}

// key returns the record's counter key for the epoch that lies epochsBefore epochs before
// that of a time.
func (r *incarnationRecord) key(at Time, epochsBefore int64) uint64 {
	epoch := int64(at/recordEpochLength) - epochsBefore
	return splitMix64(^splitMix64(uint64(r.gatewayIndex))^splitMix64(uint64(epoch))) >> 1
}

// requestIncarnationRecord starts to load the record, unless that was done before.
func (g *Gateway) requestIncarnationRecord() {
	if g.incarnation.requested {
		return
	}
	g.incarnation.requested = true
	g.loadIncarnationRecord(0)
}

// loadIncarnationRecord looks for the record of an earlier incarnation in the epoch of the
// start and then in the one before. If there is none, it releases the withheld units of the
// hard limit shares. Then it starts to renew this incarnation's own record.
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

// renewIncarnationRecord renews the record for later incarnations, and then every
// recordRenewalInterval: the counter may lose it.
func (g *Gateway) renewIncarnationRecord() {
	g.addToCounter(g.incarnation.key(g.now, 0), 1, recordTTL, ignoreReply)
	g.startTimer(recordRenewalInterval, g.renewIncarnationRecord)
}
