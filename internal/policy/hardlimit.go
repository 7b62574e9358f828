package policy

const (
	ceilingMargin = 0.98 // part of the ceiling's share in use, against rounding
)

// ceilingDepth is what this gateway owns of the ceiling's store and tolerance: the shares add up to it. Where
// tries are placed, the counter's store holds those that it vouches for to the quota: the rest is shared.
func (c *customer) ceilingDepth() float64 {
	whole := c.plan.HardLimitBurst + c.plan.HardLimitTolerance
	if c.small() {
		whole = max(whole-c.plan.Burst, 0)
	}
	return whole / c.spread * ceilingMargin
}

// ceilingRate is what this gateway's share of the ceiling gains in a second.
func (c *customer) ceilingRate() float64 {
	whole := c.plan.HardLimitRate
	if c.small() {
		whole = max(whole-c.plan.Rate, 0)
	}
	return whole / c.spread * ceilingMargin
}
