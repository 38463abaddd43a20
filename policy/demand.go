package policy

// The averages of demand.
const (
	demandAveragingTime = 2.0 // seconds over which demand is averaged
)

// demand is what a customer asks for at this gateway.
type demand struct {
	rate          float64 // units a second, mean over demandAveragingTime
	sustainedRate float64 // units a second, mean over leaseTargetDuration, without the newest request
	newestUnits   float64 // units of the newest request
}

// withinFairRate tells whether no more comes to this gateway than its part of the customer's rate.
func (c *customer) withinFairRate() bool {
	return c.demand.sustainedRate*c.quota.gatewayCount < c.quota.rate
}
