package policy

// Parameters of quotas.
const (
	maxSmallGatewaySet      = 5.0  // gateways in the largest gateway set that counts as small
	refillingWindowDuration = 50.0 // seconds; below counterNameTTL, so that the counter keeps a window's total

	// Deferred reporting. With a refill below minRefillPerGateway, a gateway would report too rarely.
	minRefillPerGateway = 4.0 // lowest refill per gateway of a large gateway set, in units per window
	largeSetLocalBurst  = 5.0 // upper bounds of localBurst in a large set: units, and equal parts of the burst
	smallSetTolerance   = 0.8 // burstTolerance of a small gateway set, as a share of the burst
	largeSetTolerance   = 2.0 // burstTolerance of a large gateway set, as a multiple of the burst

	// A ceiling. A fixed window may grant more than ceilingLeaseShare if each local bucket would otherwise hold
	// less than one unit (see divideCeilingForFixedWindows).
	ceilingLeaseShare = 0.22 // limit of the units that a fixed window grants, as a share of the ceiling's burst

	// Parameters of the rate that replaces a concurrency limit (see useConcurrencyRate).
	concurrencyUtilization = 0.65 // share of the concurrency limit that the rate uses on average
	concurrencyRateWindow  = 1.0  // seconds; duration of a fixed window while the rate replaces the limit
)

// quotaParameters is a plan as it applies to one customer at one gateway. The zero value is a plan without
// limits.
//
// The requests of a customer arrive at the gateways of its gateway set. The customer's quota of units is one
// token bucket for the whole set, the shared bucket. The counter holds the bucket's state as one total for
// each window (see counterWindow). The gateways charge the units that they spend to the total in one of two
// ways:
//
//   - Deferred reporting: a gateway spends its local tokens first and reports them to the counter later. It
//     requests a lease only when its local tokens are too few. A customer within its quota thus costs few
//     counter calls.
//   - Upfront leasing: a gateway leases units before it spends them. It uses its local tokens only while the
//     counter cannot be called, and for requests over quota under a ceiling. In a deployment without a
//     counter, nothing is leased and local tokens admit all requests.
//
// There are two kinds of windows. A refilling window is long, and the shared bucket earns units all through
// it. A fixed window is short, grants its units at the start, and is independent of the window before it.
// Deferred reporting always uses refilling windows. Upfront leasing uses refilling windows in a small gateway
// set, and fixed windows in a large gateway set.
type quotaParameters struct {
	gatewayCount    float64 // size of the gateway set, at least 1
	smallGatewaySet bool    // gatewayCount is at most maxSmallGatewaySet

	rate           float64 // units per second over all gateways; 0: no quota of units
	burst          float64 // size of the shared bucket in units, or the units that a fixed window grants
	initialBalance float64 // units in the shared bucket if the counter has no total (upfront leasing)
	maxPrefetch    float64 // units; the largest prefetch of a lease (upfront leasing)

	windowDuration    float64 // seconds
	refillingWindow   bool    // the windows are refilling windows; else fixed windows
	deferredReporting bool    // units are charged by deferred reporting; else by upfront leasing
	burstTolerance    float64 // units by which the total may exceed the refill (deferred reporting)

	localRate       float64 // units per second that the local tokens earn
	localBurst      float64 // size of the bucket of local tokens in units
	hasCeiling      bool    // the plan has a ceiling
	admitsOverQuota bool    // local tokens also admit requests over quota (see applyCeiling)

	concurrencyLimit int // attempts in flight over all gateways; 0: no limit
	localConcurrency int // this gateway's part of concurrencyLimit
}

// quotaFor returns the parameters of a plan for a customer whose gateway set has the given size, at the
// gateway with the given index in the set.
//
// Deferred reporting is used if there is a counter and the plan allows it (see allowsDeferredReporting).
// Upfront leasing uses refilling windows only in a small gateway set, where each gateway sees the total often
// enough to know the balance of the shared bucket.
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

// newQuotaParameters returns the parameters without deferred reporting and without a ceiling. localRate and
// localBurst are equal parts of the plan's rate and burst, but localBurst is at least one unit. The values of
// localConcurrency at all gateways of the set add up to the concurrency limit.
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

// allowsDeferredReporting reports whether a plan can use deferred reporting. The plan must have a rate. It
// must have no ceiling, since the gateways could exceed a ceiling before they report. The gateway set must be
// small, or the rate must be high: at least minRefillPerGateway units for each gateway in a refilling window.
func (q *quotaParameters) allowsDeferredReporting(p *Plan) bool {
	return p.CeilingRate <= 0 && p.Rate > 0 &&
		(q.smallGatewaySet || p.Rate*refillingWindowDuration >= minRefillPerGateway*q.gatewayCount)
}

// useDeferredReporting sets the parameters of deferred reporting.
//
// A large gateway set gets a higher burstTolerance than a small set: with a lower value, the bucket would
// look exhausted when its units have only been prefetched.
//
// In a large gateway set, localBurst has two upper bounds: largeSetLocalBurst units, and largeSetLocalBurst
// times an equal part of the burst. Two lower bounds take precedence: an equal part of the burst, and one
// unit.
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
// The bounds below use the fields burst, rate and initialBalance of q after the division. In any period of L
// seconds, leases spend at most:
//   - burst*(1+leaseLifetimeShare) + rate*L units in refilling windows, and 2*initialBalance more if the
//     counter loses its totals;
//   - burst*(2+leaseLifetimeShare) + rate*L units in fixed windows.
//
// Local tokens get the rest of the ceiling's burst and rate.
//
// If requests over quota earn more than they cost, local tokens also admit requests over quota, at
// overQuotaLevel. This needs a ceiling, since nothing else limits the requests over quota.
func (q *quotaParameters) applyCeiling(p *Plan) {
	q.hasCeiling = true
	q.rate = min(p.Rate, p.CeilingRate)
	if q.smallGatewaySet {
		q.divideCeilingForRefillingWindows(p)
	} else {
		q.divideCeilingForFixedWindows(p)
	}
	q.maxPrefetch = q.burst / q.gatewayCount
	q.localRate = (p.CeilingRate - q.rate) / q.gatewayCount
	q.admitsOverQuota = p.OverQuotaWeight > p.OverQuotaCost
}

// divideCeilingForRefillingWindows divides a ceiling's burst if leases use refilling windows. Of the units
// that leases do not need, one half becomes the initial balance. The gateways' local buckets share the other
// half equally.
func (q *quotaParameters) divideCeilingForRefillingWindows(p *Plan) {
	q.burst = min(p.Burst, p.CeilingBurst/(1+leaseLifetimeShare))
	q.initialBalance = (p.CeilingBurst - (1+leaseLifetimeShare)*q.burst) / 2
	q.localBurst = q.initialBalance / q.gatewayCount
}

// divideCeilingForFixedWindows divides a ceiling's burst if leases use fixed windows. A window grants at most
// ceilingLeaseShare of the ceiling's burst, unless each local bucket would then hold less than one unit.
// The gateways' local buckets share equally the units that leases do not need.
func (q *quotaParameters) divideCeilingForFixedWindows(p *Plan) {
	q.burst = min(p.Burst, p.CeilingBurst*ceilingLeaseShare)
	if q.localCeilingBurst(p) < 1 {
		// A local bucket that never holds a whole unit admits no request of one unit. Its units would be lost
		// to the customer, so leases get as much of the ceiling's burst as they can use.
		q.burst = min(p.Burst, p.CeilingBurst/(2+leaseLifetimeShare))
	}
	q.initialBalance = q.burst
	q.localBurst = q.localCeilingBurst(p)
}

// localCeilingBurst returns the size of a local bucket if leases use fixed windows. Leases then need
// (2+leaseLifetimeShare)*burst units of the ceiling's burst. The local buckets share the rest equally.
func (q *quotaParameters) localCeilingBurst(p *Plan) float64 {
	return (p.CeilingBurst - (2+leaseLifetimeShare)*q.burst) / q.gatewayCount
}

// useConcurrencyRate drops the concurrency limit of a large gateway set. If the plan has no rate and the mean
// latency is known, a quota of units replaces the limit. Its rate is concurrencyUtilization of the highest
// rate that the limit allows at the mean latency. Counting attempts in flight at the counter would need two
// calls for each request, and the count would drift.
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
