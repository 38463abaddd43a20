package policy

import "math"

// demandAveragingTime is how many seconds demand.rate is a mean over.
const demandAveragingTime = 2.0

// demand is what a customer asks for at this gateway.
type demand struct {
	rate          float64 // units a second, mean over demandAveragingTime
	sustainedRate float64 // units a second, mean over leaseTargetDuration, without the newest request
	newestUnits   float64 // units of the newest request
}

// record counts a request that comes elapsed seconds after the one before. sustainedRate leaves it out: what
// comes just now says nothing of what is to come after it.
func (d *demand) record(elapsed, units float64) {
	d.rate = d.rate*math.Exp(-elapsed/demandAveragingTime) + units/demandAveragingTime
	d.sustainedRate = (d.sustainedRate + d.newestUnits/leaseTargetDuration) *
		math.Exp(-elapsed/leaseTargetDuration)
	d.newestUnits = units
}

// withinFairShare reports whether no more comes to this gateway than its part of the customer's rate.
func (c *customer) withinFairShare() bool {
	return c.demand.sustainedRate*c.quota.gatewayCount < c.quota.rate
}
