package policy

// Each of these holds for any deployment.
const (
	maxSmallGatewaySet      = 5.0  // gateways of a customer that count as few
	refillingWindowDuration = 50.0 // seconds of a long window; less than counterNameTTL

	// A reported store.
	minRefillPerGateway = 4.0 // units of refill a window and gateway, lest reports come too late
	largeSetLocalBurst  = 5.0 // local burst of each of many gateways, within as many bursts for them all
	smallSetTolerance   = 0.8 // of the burst, where gateways are few
	largeSetTolerance   = 2.0 // where they are many: what these lease ahead would pass for exhaustion

	// A ceiling.
	ceilingLeaseShare = 0.22 // of its burst: what a window may lease; local tokens have the rest

	// A concurrency limit that is applied as a rate.
	concurrencyUtilization = 0.65 // mean use of the limit
	concurrencyRateWindow  = 1.0  // seconds of its window
)

// quotaParameters is what a plan comes to for one customer at one gateway. The zero value is a plan without
// limits.
type quotaParameters struct {
	gatewayCount    float64 // gateways of the customer, at least 1
	smallGatewaySet bool    // gatewayCount is at most maxSmallGatewaySet

	rate           float64 // units a second, over all gateways; 0: no quota of units
	burst          float64 // units that the store holds at most, or that a short window grants
	initialBalance float64 // units that the store begins with where nothing is known of it
	maxPrefetch    float64 // units of this gateway's part, which its leases take ahead at most

	windowDuration    float64 // seconds of a window of the counter
	refillingWindow   bool    // the allowance grows with time in a window; else it is granted at its start
	deferredReporting bool    // the store is kept by reports of what local tokens have paid for
	burstTolerance    float64 // units that a reported store lends beyond its refill

	localRate       float64 // units a second that this gateway may spend without the counter
	localBurst      float64 // units of that at once
	admitsOverQuota bool    // what local tokens admit beyond the quota earns more than it costs

	concurrencyLimit int // attempts in flight over all gateways; 0: no limit
	localConcurrency int // this gateway's part of concurrencyLimit
}

// quotaFor works out what a plan comes to for a customer of so many gateways, at the one of an index from 0.
//
// A store is kept by reports wherever a customer has few gateways, or these see enough of it. Under a
// ceiling, it is kept by calls alone: few gateways each see the totals often enough for an exact store, a
// long window whose allowance grows with time. Else each window is short and stands for itself.
func (e *Engine) quotaFor(p *Plan, gateways, index int) quotaParameters {
	q := newQuotaParameters(p, gateways, index)
	if e.settings.Counter && q.allowsDeferredReporting(p) {
		q.useDeferredReporting(p)
	}
	q.refillingWindow = q.smallGatewaySet || q.deferredReporting
	if p.CeilingRate > 0 {
		q.applyCeiling(p)
	}
	q.windowDuration = refillingWindowDuration
	if !q.refillingWindow {
		q.windowDuration = q.burst / max(q.rate, minRate)
	}
	if !q.smallGatewaySet && q.concurrencyLimit > 0 {
		q.useConcurrencyRate(p, e.latency.mean)
	}
	return q
}

// newQuotaParameters returns what a plan comes to without a counter and a ceiling: an equal part for each
// gateway. The parts of the concurrency limit add up to it.
func newQuotaParameters(p *Plan, gateways, index int) quotaParameters {
	n := float64(max(gateways, 1))
	return quotaParameters{
		gatewayCount:     n,
		smallGatewaySet:  n <= maxSmallGatewaySet,
		rate:             p.Rate,
		burst:            p.Burst,
		initialBalance:   p.Burst,
		maxPrefetch:      p.Burst / n,
		localRate:        p.Rate / n,
		localBurst:       max(p.Burst/n, 1),
		concurrencyLimit: p.MaxConcurrent,
		localConcurrency: (p.MaxConcurrent + gateways - 1 - index) / max(gateways, 1),
	}
}

// allowsDeferredReporting reports whether the store can be kept by reports: there is no ceiling to hold, and
// reports come soon enough.
func (q *quotaParameters) allowsDeferredReporting(p *Plan) bool {
	return p.CeilingRate <= 0 && p.Rate > 0 &&
		(q.smallGatewaySet || p.Rate*refillingWindowDuration >= minRefillPerGateway*q.gatewayCount)
}

// useDeferredReporting has the store kept by reports.
func (q *quotaParameters) useDeferredReporting(p *Plan) {
	q.deferredReporting = true
	if q.smallGatewaySet {
		q.burstTolerance = smallSetTolerance * p.Burst
		return
	}
	q.burstTolerance = largeSetTolerance * p.Burst
	q.localBurst = max(
		p.Burst/q.gatewayCount,
		min(largeSetLocalBurst, largeSetLocalBurst*p.Burst/q.gatewayCount),
		1,
	)
}

// applyCeiling divides a plan's ceiling between leases and local tokens, which together never exceed it.
//
// An exact store spends in any time L allowance*(1+leaseLifetimeShare) + rate*L at most, and twice the
// initial allowance if the counter comes back empty; short windows spend
// allowance*(2+leaseLifetimeShare) + rate*L. Local tokens have the rest of burst and rate. Where a plan gains
// by what is served beyond its quota, they also pay
// for that, at the lowest level; without a ceiling nothing would bound it.
func (q *quotaParameters) applyCeiling(p *Plan) {
	q.rate = min(p.Rate, p.CeilingRate)
	if q.smallGatewaySet {
		q.divideCeilingForRefillingWindow(p)
	} else {
		q.divideCeilingForFixedWindows(p)
	}
	q.maxPrefetch = q.burst / q.gatewayCount
	q.localRate = (p.CeilingRate - q.rate) / q.gatewayCount
	q.admitsOverQuota = p.OverQuotaWeight > p.OverQuotaCost
}

// divideCeilingForRefillingWindow divides a ceiling's burst for a store that few gateways keep.
func (q *quotaParameters) divideCeilingForRefillingWindow(p *Plan) {
	q.burst = min(p.Burst, p.CeilingBurst/(1+leaseLifetimeShare))
	q.initialBalance = (p.CeilingBurst - (1+leaseLifetimeShare)*q.burst) / 2
	q.localBurst = q.initialBalance / q.gatewayCount
}

// divideCeilingForFixedWindows divides a ceiling's burst for many gateways.
func (q *quotaParameters) divideCeilingForFixedWindows(p *Plan) {
	q.burst = min(p.Burst, p.CeilingBurst*ceilingLeaseShare)
	if q.localCeilingBurst(p) < 1 {
		// A local burst that never holds a unit pays for nothing, and is lost to the customer. So leases
		// have what they can use of it.
		q.burst = min(p.Burst, p.CeilingBurst/(2+leaseLifetimeShare))
	}
	q.initialBalance = q.burst
	q.localBurst = q.localCeilingBurst(p)
}

// localCeilingBurst returns what leases in short windows leave to this gateway of a ceiling's burst.
func (q *quotaParameters) localCeilingBurst(p *Plan) float64 {
	return (p.CeilingBurst - (2+leaseLifetimeShare)*q.burst) / q.gatewayCount
}

// useConcurrencyRate replaces a concurrency limit by the rate that it admits on average, where the plan
// has no rate and a mean latency is known. Concurrency that many gateways share would be two calls a request,
// and the count would drift.
func (q *quotaParameters) useConcurrencyRate(p *Plan, meanLatency float64) {
	q.concurrencyLimit = 0
	if q.rate == 0 && meanLatency > 0 {
		q.rate = concurrencyUtilization * float64(p.MaxConcurrent) / meanLatency
		q.windowDuration = concurrencyRateWindow
		q.burst = q.rate * concurrencyRateWindow
		q.initialBalance = q.rate * concurrencyRateWindow
		q.maxPrefetch = 1
		q.localRate = q.rate / q.gatewayCount
	}
}
