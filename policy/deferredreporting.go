package policy

import "math"

// Under deferred reporting, the gateways spend local tokens first and report them to the counter later.
// quotaParameters describes leases and windows; counterWindow describes total, refill and overflow.

// Parameters of deferred reporting. The report threshold is the number of unreported units at which a report
// is due (see reportIfDue).
const (
	reportThresholdShare = 1.0 / 3 // lowest report threshold, as a share of the burst
	minReportThreshold   = 2.0     // lowest report threshold in units; if lower, each request could cost a call
	reportGain           = 0.2     // weight of the newest report in the mean report

	overflowCallShare = 0.75 // share of the burst above which an extra call adds overflow to the total
	maxReportLagShare = 0.25 // largest report lag, as a share of the burst (see reconcileDeferred)
	maxCarryOverAge   = 30.0 // age in seconds from which a balance is not carried over into a new window

	maxPrefetchShare      = 0.25 // largest share of the shared bucket's balance that a lease prefetches
	leaseTargetDuration   = 45.0 // seconds of sustained demand that a prefetch should cover
	deferredLeaseLifetime = 2 * leaseTargetDuration
	exhaustedReadPeriod   = 1.0 // seconds after exhaustedUntil in which calls only read the total
)

// sharedBucketView is this gateway's view of the shared bucket under deferred reporting. Upfront leasing does
// not use it.
type sharedBucketView struct {
	overflow   float64 // units of overflow that the last call found and that are not in the total yet
	meanReport float64 // units per report, exponential mean
	balance    float64 // units left in the bucket after the last call, as of balanceAt
	balanceAt  float64 // clock time at which balance was determined
	exhausted  bool    // the last call found fewer units than it requested, or than the next request needs
}

// deferredLeaseUnits returns the units of the next lease: the units of the waiting requests and a prefetch.
// It returns 0 if the next call should only read the total.
//
// If a customer is over its quota, most lease requests are granted nothing, and the units that they added to
// the total are missing at the other gateways until a correction takes them back. After a call has found the
// bucket exhausted, the next calls therefore only read the total. They do so until a call finds the units for
// the next request, or until exhaustedReadPeriod seconds after exhaustedUntil.
//
// In a large gateway set, there is an exception for a gateway whose demand is within its fair share. The
// bucket is then exhausted because of the leases of other gateways, and the gateway requests a lease at once,
// without a prefetch.
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

// reportIfDue reports the unreported units to the counter if they reach the report threshold. Fewer units are
// reported with the next lease request. There is no report while another call is pending or during a backoff.
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

// deferredOverflow returns the estimated overflow, which the next call adds to the total. The estimate is the
// overflow that this gateway found at its last call, but at most the refill less the last total. Overflow
// builds up between any two successive calls of the gateway set. These calls are about equally spaced in
// time, so about as much overflow has built up now as at the last call.
func (c *customer) deferredOverflow(refill float64) float64 {
	return min(c.sharedBucket.overflow, max(refill-c.window.lastTotal, 0))
}

// reconcileDeferred grants the lease that a call requested, as far as the returned total allows, and corrects
// the total at the counter.
//
// The total lags behind the units spent, since the gateways report late. The report lag is an estimate of the
// difference: half a mean report for each gateway, but at most maxReportLagShare of the burst. If the total
// is below the refill by at most the report lag, the bucket counts as full and nothing has overflowed. If the
// total is lower, the difference beyond the report lag is overflow. The overflow is added to the total, since
// it could otherwise be spent at once later.
//
// The units that a customer gets are thereby limited. In a period of L seconds, they are at most the sum of:
//   - rate*L,
//   - burstTolerance,
//   - overflowCallShare of the burst, since up to this much overflow may be missing in the total,
//   - the report lag,
//   - the units that were leased before the period, and
//   - the unreported units of all gateways; each gateway reports them at the threshold in reportIfDue.
//
// Over a long period, the mean rate is therefore at most about the quota's rate.
func (e *Engine) reconcileDeferred(c *customer, call counterCall, total float64) {
	reportedTotal := call.totalWithoutEstimates(total)
	c.sharedBucket.recordReport(call.spent)
	requestUnits := c.nextRequestUnits()
	capacity := c.quota.burst
	// A full bucket must admit a request of up to burst units, even if burstTolerance is lower.
	burstTolerance := max(c.quota.burstTolerance, min(requestUnits, capacity))

	correctedTotal := c.totalAfterOverflow(call, reportedTotal)
	c.sharedBucket.overflow = correctedTotal - reportedTotal
	carriedOver := reportedTotal-call.spent < minCorrection && e.now-c.sharedBucket.balanceAt < maxCarryOverAge
	if carriedOver {
		// Before this call, the total was about 0: the window is new at the counter, and the bucket looks full.
		// The recent balance is carried over from the window before, since otherwise each window would admit
		// another burst.
		correctedTotal = max(correctedTotal, call.refill+burstTolerance-c.sharedBucket.balance)
	}
	c.sharedBucket.balance = min(burstTolerance-(correctedTotal-call.refill), capacity)
	granted := e.grantDeferred(c, call, requestUnits)
	if call.window == c.window.number {
		e.correctTotal(c, call, total, correctedTotal+granted, carriedOver)
	}
}

// totalWithoutEstimates subtracts the lease and the estimated overflow of a call from the total that the call
// returned.
//
// Two gateways may add the same overflow. The gateway that called second subtracts its own estimate here. The
// result still includes the overflow that the other gateway has added. A correction then takes back the
// second gateway's estimate. A negative adjustment and a balance carried over from the window before are not
// estimates, and stay in the total.
func (call *counterCall) totalWithoutEstimates(total float64) float64 {
	reportedTotal := total - call.leaseUnits
	if !call.carriedOver {
		reportedTotal -= max(call.adjustment, 0)
	}
	return reportedTotal
}

// recordReport updates the mean report with the spent units that a call reported. A call that reported no
// spent units does not count.
func (b *sharedBucketView) recordReport(spent float64) {
	if spent > 0 {
		b.meanReport += reportGain * (spent - b.meanReport)
	}
}

// totalAfterOverflow returns the total after all overflow is added. The returned total is below the refill by
// at most the report lag (see reconcileDeferred).
func (c *customer) totalAfterOverflow(call counterCall, reportedTotal float64) float64 {
	lag := min(c.sharedBucket.meanReport/2*c.quota.gatewayCount, maxReportLagShare*c.quota.burst)
	return max(reportedTotal, call.refill-lag)
}

// grantDeferred grants the lease that a call requested, as far as the bucket's balance allows, and returns
// the units granted. If the bucket is exhausted, it sets exhaustedUntil to the time at which the bucket will
// hold the units of two requests. The wait is at most the time in which the bucket earns the units of
// refillWaitLimit requests.
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

// refillWaitLimit returns the longest wait for an exhausted bucket, as the number of requests whose units the
// bucket earns during the wait. The limit grows with the number of gateways that compete for the refill,
// unless this gateway's demand is within its fair share.
func (c *customer) refillWaitLimit() float64 {
	if c.withinFairShare() {
		return maxRefillWaitRequests
	}
	return max(maxRefillWaitRequests, c.quota.gatewayCount/2)
}

// correctTotal makes a call that changes the counter's total to the target, unless the difference is small.
// A decrease is small up to minCorrection of a request's units. An increase is small up to overflowCallShare
// of the burst. If a balance is carried over, a small increase must also be at most the units of one request.
//
// The difference consists of overflow, units that were requested and not granted, and the balance carried
// over into a new window.
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
