package policy

// These values suit any deployment.
const (
	maxSmallGatewaySet      = 5.0  // gateways; a larger gateway set is not small
	refillingWindowDuration = 50.0 // seconds; less than counterNameTTL

	// Deferred reporting.
	minRefillPerGateway = 4.0 // units a window; if each gateway of a large set earns less, reports come too late
	largeSetLocalBurst  = 5.0 // large set: units in a local bucket and bursts in all of them, at most
	smallSetTolerance   = 0.8 // of the burst: the burstTolerance of a small gateway set
	largeSetTolerance   = 2.0 // of the burst, in a large set; with less, prefetched units look like exhaustion

	// A ceiling.
	ceilingLeaseShare = 0.22 // of the ceiling's burst: what a fixed window may lease; local tokens get the rest

	// A concurrency limit that is applied as a rate.
	concurrencyUtilization = 0.65 // mean use of the limit
	concurrencyRateWindow  = 1.0  // seconds of its window
)

// quotaParameters is a plan as it applies to one customer at one gateway. The zero value is a plan without
// limits.
//
// The requests of a customer arrive at the gateways of its gateway set. Its quota of units is one token
// bucket for the whole set, the shared bucket. The counter holds the bucket's state as one total for each
// window (see counterWindow). The gateways charge the units that they spend to the total in one of two ways:
//
//   - Deferred reporting: a gateway spends its local tokens without a call and reports them later. It calls
//     for a lease only when its local tokens are too few. A customer within its quota thus costs few calls.
//   - Upfront leasing: a gateway spends only units that it has leased before. Its local tokens are for times
//     when the counter does not reply, and for requests over quota under a ceiling. In a deployment without
//     a counter, nothing is leased and local tokens admit all requests.
//
// There are two kinds of windows. A refilling window is long, and the shared bucket earns units all through
// it. A fixed window is short, grants its units at the start, and is independent of the window before it.
// Deferred reporting always uses refilling windows. Upfront leasing uses them in a small gateway set, and
// fixed windows in a large one.
type quotaParameters struct {
	gatewayCount    float64 // size of the gateway set, at least 1
	smallGatewaySet bool    // gatewayCount is at most maxSmallGatewaySet

	rate           float64 // units a second, over all gateways; 0: no quota of units
	burst          float64 // size of the shared bucket in units, or the units that a fixed window grants
	initialBalance float64 // units in the shared bucket where the counter has no total
	maxPrefetch    float64 // units that a lease may add to those that requests wait for (upfront leasing)

	windowDuration    float64 // seconds
	refillingWindow   bool    // the windows are refilling windows; else fixed windows
	deferredReporting bool    // units are charged by deferred reporting; else by upfront leasing
	burstTolerance    float64 // units by which the total may exceed the refill (deferred reporting)

	localRate       float64 // units a second that the local tokens earn
	localBurst      float64 // size of the bucket of local tokens in units
	admitsOverQuota bool    // local tokens admit requests over quota, since these earn more than they cost

	concurrencyLimit int // attempts in flight over all gateways; 0: no limit
	localConcurrency int // this gateway's part of concurrencyLimit
}

// quotaFor returns the parameters of a plan for a customer whose gateway set has the given size, at the
// gateway with the given index in the set.
//
// Deferred reporting is used if there is no ceiling and reports come soon enough. Upfront leasing in a small
// gateway set can use refilling windows, since each gateway sees the total often enough to keep the shared
// bucket exact. A large set uses fixed windows.
func (e *Engine) quotaFor(p *Plan, gateways, index int) quotaParameters {
	q := newQuotaParameters(p, gateways, index)
	if e.settings.HasCounter && q.allowsDeferredReporting(p) {
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

// newQuotaParameters returns the parameters without deferred reporting and without a ceiling. Rate and burst
// are divided equally among the gateways. The local parts of the concurrency limit add up to the limit.
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

// allowsDeferredReporting reports whether the plan has no ceiling, which deferred reports could exceed, and
// the gateways of the set earn enough for reports to come soon.
func (q *quotaParameters) allowsDeferredReporting(p *Plan) bool {
	return p.CeilingRate <= 0 && p.Rate > 0 &&
		(q.smallGatewaySet || p.Rate*refillingWindowDuration >= minRefillPerGateway*q.gatewayCount)
}

// useDeferredReporting sets the parameters of deferred reporting.
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
// In any time L, leases in refilling windows spend at most burst*(1+leaseLifetimeShare) + rate*L, and twice
// initialBalance more if the counter loses its totals. Leases in fixed windows spend at most
// burst*(2+leaseLifetimeShare) + rate*L. Local tokens get the rest of the ceiling's burst and rate.
//
// If requests over quota earn more than they cost, local tokens admit them too, at the lowest level. Only
// plans with a ceiling permit this, since nothing else would bound such requests.
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

// divideCeilingForRefillingWindow divides a ceiling's burst where leases use refilling windows. Of the units
// that leases leave, one half is the initial balance, and the other half is the gateways' local bursts.
func (q *quotaParameters) divideCeilingForRefillingWindow(p *Plan) {
	q.burst = min(p.Burst, p.CeilingBurst/(1+leaseLifetimeShare))
	q.initialBalance = (p.CeilingBurst - (1+leaseLifetimeShare)*q.burst) / 2
	q.localBurst = q.initialBalance / q.gatewayCount
}

// divideCeilingForFixedWindows divides a ceiling's burst where leases use fixed windows. The gateways' local
// bursts are the units that leases leave.
func (q *quotaParameters) divideCeilingForFixedWindows(p *Plan) {
	q.burst = min(p.Burst, p.CeilingBurst*ceilingLeaseShare)
	if q.localCeilingBurst(p) < 1 {
		// A local bucket that never holds a whole unit admits nothing, and its units would be lost to the
		// customer. So leases get as much of the ceiling's burst as they can use.
		q.burst = min(p.Burst, p.CeilingBurst/(2+leaseLifetimeShare))
	}
	q.initialBalance = q.burst
	q.localBurst = q.localCeilingBurst(p)
}

// localCeilingBurst returns this gateway's part of the ceiling's burst that leases in fixed windows leave.
func (q *quotaParameters) localCeilingBurst(p *Plan) float64 {
	return (p.CeilingBurst - (2+leaseLifetimeShare)*q.burst) / q.gatewayCount
}

// useConcurrencyRate drops the concurrency limit of a large gateway set. If the plan has no rate and the mean
// latency is known, the rate that the limit allows on average takes its place. Shared concurrency would need
// two counter calls for each request, and the count of attempts in flight would drift.
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
