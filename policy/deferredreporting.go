package policy

import "math"

// Deferred reporting: the gateways spend local tokens first and report them to the counter later. See
// quotaParameters for the terms, and counterWindow for total, refill and overflow.

// These values suit any deployment.
const (
	reportThresholdShare = 1.0 / 3 // of the burst: unreported units at which a gateway reports
	minReportThreshold   = 2.0     // units: the lowest such threshold, so that not each request costs a call
	reportGain           = 0.2     // weight of the newest report in the mean report

	overflowCallShare = 0.75 // of the burst: more overflow than this is worth a call of its own
	maxReportLagShare = 0.25 // of the burst: the most refill that is kept for unreported units
	maxCarryOverAge   = 30.0 // seconds: an older balance is not carried over into a new window

	maxPrefetchShare      = 0.25 // of the bucket's balance: the largest prefetch of a lease
	leaseTargetDuration   = 45.0 // seconds of sustained demand that a prefetch should cover
	deferredLeaseLifetime = 2 * leaseTargetDuration
	exhaustedReadPeriod   = 1.0 // seconds after exhaustedUntil in which a call only reads the total
)

// sharedBucketView is this gateway's view of the shared bucket under deferred reporting. Upfront leasing does
// not use it.
type sharedBucketView struct {
	overflow   float64 // units found at the last call and not added to the total yet
	meanReport float64 // units that a report holds, exponential mean
	balance    float64 // units left in the bucket after the last call
	balanceAt  float64 // clock time at which balance was determined
	exhausted  bool    // the last call found too few units
}

// deferredLeaseUnits returns the units of the next lease: those of the waiting requests and a prefetch. It
// returns 0 if the next call should only read the total.
//
// If a customer is over its quota, most calls are granted nothing, and the units that they added to the
// total are missing at the other gateways until they are taken back. So after a call that was granted too
// little, the next call only reads the total, and a lease is requested again once there are units. In a large
// gateway set, a gateway whose demand is within its fair share found the bucket exhausted because of the
// others' leases. It requests its lease at once, without a prefetch.
func (c *customer) deferredLeaseUnits(now float64) float64 {
	switch {
	case !c.sharedBucket.exhausted || now > c.exhaustedUntil+exhaustedReadPeriod:
		prefetch := min(c.demand.sustainedRate*leaseTargetDuration, c.sharedBucket.balance*maxPrefetchShare)
		return c.waitingUnits() + math.Floor(max(prefetch, 0))
	case !c.quota.smallGatewaySet && c.withinFairShare():
		return c.waitingUnits()
	}
	return 0
}

// reportIfDue reports the unreported units to the counter once they reach the threshold. Fewer units are
// reported with the next lease request.
func (e *Engine) reportIfDue(c *customer) {
	threshold := max(c.quota.localBurst, reportThresholdShare*c.quota.burst, minReportThreshold)
	if c.unreportedUnits < threshold || c.calls.pending > 0 || c.backoff.active(e.now) {
		return
	}
	c.enterWindow(e.now)
	refill := c.windowRefill(e.now)
	call := c.newReport(refill)
	call.adjustment = c.deferredOverflow(refill)
	e.callCounter(call)
}

// deferredOverflow returns an estimate of the overflow, which the next call adds to the total: the overflow
// that this gateway found at its last call. That had built up since the call before, of any gateway, and the
// gateways together call about as often as before.
func (c *customer) deferredOverflow(refill float64) float64 {
	return min(c.sharedBucket.overflow, max(refill-c.window.lastTotal, 0))
}

// reconcileDeferred grants the lease that a call requested, as far as the returned total allows, and corrects
// the total at the counter.
//
// The total lags behind the units spent by about half a mean report for each gateway. While the total is
// below the refill by no more than this report lag, the bucket counts as full and nothing has overflowed.
// Refill further above the total is overflow, and is added to the total so that it cannot be spent in one
// burst later.
//
// In any time L a customer gets at most rate*L units, plus:
//   - burstTolerance,
//   - the refill that was not added as overflow yet: up to overflowCallShare+maxReportLagShare of the burst,
//   - the units leased before, and
//   - for each gateway its unreported units: at most its local tokens, reportThresholdShare of a burst or
//     minReportThreshold, whichever is largest.
//
// Over a long time this is the rate.
func (e *Engine) reconcileDeferred(c *customer, call counterCall, total float64) {
	reportedTotal := call.totalWithoutEstimates(total)
	c.sharedBucket.recordReport(call.spent)
	requestUnits := c.nextRequestUnits()
	capacity := c.quota.burst
	// The tolerance must let a full bucket admit any request of at most its size.
	burstTolerance := max(c.quota.burstTolerance, min(requestUnits, capacity))

	correctedTotal := c.totalAfterOverflow(call, reportedTotal)
	c.sharedBucket.overflow = correctedTotal - reportedTotal
	carriedOver := reportedTotal-call.spent < minCorrection && e.now-c.sharedBucket.balanceAt < maxCarryOverAge
	if carriedOver {
		// The total of a new window is 0, which stands for a full bucket. A recent balance is carried over
		// from the window before, or each window would admit another burst.
		correctedTotal = max(correctedTotal, call.refill+burstTolerance-c.sharedBucket.balance)
	}
	c.sharedBucket.balance = min(burstTolerance-(correctedTotal-call.refill), capacity)
	granted := e.grantDeferred(c, call, requestUnits)
	if call.window == c.window.number {
		e.correctTotal(c, call, total, correctedTotal+granted, carriedOver)
	}
}

// totalWithoutEstimates returns a total without the lease and the estimated overflow of the call that
// returned it.
//
// Two gateways may add the same overflow. As each leaves its own estimate out here, the second one finds
// the total too high, and takes its estimate back. A negative adjustment and a balance carried over from
// the window before are not estimates, and stay in the total.
func (call *counterCall) totalWithoutEstimates(total float64) float64 {
	reportedTotal := total - call.leaseUnits
	if !call.carriedOver {
		reportedTotal -= max(call.adjustment, 0)
	}
	return reportedTotal
}

// recordReport updates the mean report with the units of a report, if it holds any.
func (b *sharedBucketView) recordReport(spent float64) {
	if spent > 0 {
		b.meanReport += reportGain * (spent - b.meanReport)
	}
}

// totalAfterOverflow returns the total with all overflow added. Refill within the report lag is no overflow.
func (c *customer) totalAfterOverflow(call counterCall, reportedTotal float64) float64 {
	lag := min(c.sharedBucket.meanReport/2*c.quota.gatewayCount, maxReportLagShare*c.quota.burst)
	return max(reportedTotal, call.refill-lag)
}

// grantDeferred grants the lease that a call requested, as far as the bucket's balance allows, and returns
// the units granted. If they are too few, it sets the time until which the bucket is exhausted.
func (e *Engine) grantDeferred(c *customer, call counterCall, requestUnits float64) float64 {
	granted := affordableUnits(call.leaseUnits, c.sharedBucket.balance, requestUnits)
	c.sharedBucket.exhausted = granted < call.leaseUnits ||
		call.leaseUnits == 0 && c.sharedBucket.balance < requestUnits
	if c.sharedBucket.exhausted {
		maxMissing := c.refillWaitLimit() * requestUnits
		missing := min(2*requestUnits-c.sharedBucket.balance+granted, maxMissing)
		c.exhaustedUntil = e.refilledAt(c, missing)
	}
	c.sharedBucket.balance -= granted
	c.sharedBucket.balanceAt = e.now
	c.lease.add(granted, e.now+deferredLeaseLifetime)
	return granted
}

// refillWaitLimit returns how many requests' units an exhausted bucket must earn, at most, before this
// gateway calls again. The more gateways compete for the refill, the later there is some left for this one,
// unless its demand is within its fair share.
func (c *customer) refillWaitLimit() float64 {
	if c.withinFairShare() {
		return maxRefillWaitRequests
	}
	return max(maxRefillWaitRequests, c.quota.gatewayCount/2)
}

// correctTotal corrects the counter's total to a target if the difference is worth a call. The difference is
// overflow, units that were requested and not granted, or the balance carried over into a new window.
func (e *Engine) correctTotal(
	c *customer, call counterCall, total, target float64, carriedOver bool,
) {
	c.window.lastTotal = total
	correction := target - total
	requestUnits := c.nextRequestUnits()
	needsCarryOver := carriedOver && correction > requestUnits
	if correction <= overflowCallShare*c.quota.burst && correction >= -minCorrection*requestUnits &&
		!needsCarryOver {
		return
	}
	c.sharedBucket.overflow = 0
	c.window.lastTotal += correction
	next := call.newCorrection(correction)
	next.refill = call.refill
	next.carriedOver = carriedOver
	e.callCounter(next)
}
