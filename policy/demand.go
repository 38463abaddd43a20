package policy

import "math"

// demandAveragingTime is the time in seconds over which demand.rate is averaged.
const demandAveragingTime = 2.0

// demand is the rate at which a customer requests units at this gateway.
type demand struct {
	rate          float64 // units per second, exponential mean over demandAveragingTime
	sustainedRate float64 // units per second, exponential mean over leaseTargetDuration (see record)
	newestUnits   float64 // units of the newest request
}

// record updates the demand with a request that arrives elapsed seconds after the request before it.
// sustainedRate leaves the newest request out, since its arrival does not predict further requests.
func (d *demand) record(elapsed, units float64) {
	d.rate = d.rate*math.Exp(-elapsed/demandAveragingTime) + units/demandAveragingTime
	d.sustainedRate = (d.sustainedRate + d.newestUnits/leaseTargetDuration) *
		math.Exp(-elapsed/leaseTargetDuration)
	d.newestUnits = units
}

// withinFairShare reports whether the sustained demand at this gateway is below its fair share of the
// customer's rate: the rate divided by the number of gateways.
func (c *customer) withinFairShare() bool {
	return c.demand.sustainedRate*c.quota.gatewayCount < c.quota.rate
}
