package policy

import "math"

// The reported store: each gateway spends its local tokens without a call and reports them later. A customer
// that stays within its quota costs few calls so.

// Each of these holds for any deployment.
const (
	reportThresholdShare = 1.0 / 3 // of the burst: what a gateway may have spent and not reported
	minReportThreshold   = 2.0     // units that it may have, however small the burst, lest each cost a call
	reportGain           = 0.2     // weight of the newest report in their mean

	maxOverflow     = 0.75 // of the burst: refill that nobody has used is written off once it is so much
	maxReportLag    = 0.25 // of the burst: refill left for spending that has not been reported yet
	maxCarryOverAge = 30.0 // seconds for which the level of the last window stands in a new one

	maxPrefetchShare      = 0.25 // of what the last call left in the store: what one lease takes ahead
	leaseTargetDuration   = 45.0 // seconds that a lease is to last, at the mean demand of so long
	deferredLeaseLifetime = 2 * leaseTargetDuration
	exhaustedReadPeriod   = 1.0 // seconds after an exhaustion in which a call only looks
)

// sharedBucket is what this gateway knows of a reported store. A windowed store doesn't use it.
type sharedBucket struct {
	overflow   float64 // units of refill that nobody had used at the last call
	meanReport float64 // units that a call reports as spent, exponential mean
	balance    float64 // units that the last call left in the store
	balanceAt  float64 // when remaining was seen
	exhausted  bool    // the last call found too few units
}

// deferredLeaseUnits returns the size of the next lease: what waits, and what is to be taken ahead. It is 0
// where a call is to look first.
//
// Of a customer beyond its quota most calls are granted nothing, and what they added is missing at the other
// gateways until it is taken back. So the next call after such a one only looks, and a further one takes. Of
// many gateways, one that gets no more than its part of the rate was exhausted by the others' leases: it
// needs no look.
func (c *customer) deferredLeaseUnits(now float64) float64 {
	switch {
	case !c.shared.exhausted || now > c.exhaustedUntil+exhaustedReadPeriod:
		prefetch := min(c.demand.sustainedRate*leaseTargetDuration, c.shared.balance*maxPrefetchShare)
		return c.waitingUnits() + math.Floor(max(prefetch, 0))
	case !c.quota.smallGatewaySet && c.withinFairShare():
		return c.waitingUnits()
	}
	return 0
}

// reportIfDue reports to the counter what was spent from local tokens, once it is much. Less goes with the
// next lease.
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

// deferredOverflow returns the refill that the next call writes off since nobody has used it: as much as this
// gateway found at its last call, for all gateways together call about as often as before.
func (c *customer) deferredOverflow(refill float64) float64 {
	return min(c.shared.overflow, max(refill-c.window.lastTotal, 0))
}

// reconcileDeferred takes a lease from the total that a call returned, and corrects the total.
//
// The total is what all gateways have reported, and lags behind what they have spent by about half a mean
// report for each. The store is full where the total lies below the refill by no more than that (the slack).
// What lies further below has not been used, and is written off, lest a burst find it all at once.
//
// In any time L a customer gets at most rate*L, the overdraft, maxOverflow+maxReportLag bursts that
// were not written off yet, what was leased before, and what each gateway has spent and not reported: its
// local tokens, reportThresholdShare of a burst or minReportThreshold, whichever is most. Over long times
// that is the rate.
func (e *Engine) reconcileDeferred(c *customer, call counterCall, total float64) {
	reported := call.totalWithoutEstimates(total)
	c.shared.recordReport(call.spent)
	requestUnits := c.nextRequestUnits()
	capacity := c.quota.burst
	// A request that a full store can pay for is admitted.
	burstTolerance := max(c.quota.burstTolerance, min(requestUnits, capacity))

	corrected := c.totalAfterOverflow(call, reported)
	c.shared.overflow = corrected - reported
	carriedOver := reported-call.spent < minCorrection && e.now-c.shared.balanceAt < maxCarryOverAge
	if carriedOver {
		// A window begins with a full store. One that was empty a moment ago goes on from there, or
		// each window would admit a burst more.
		corrected = max(corrected, call.refill+burstTolerance-c.shared.balance)
	}
	c.shared.balance = min(burstTolerance-(corrected-call.refill), capacity)
	granted := e.grantDeferred(c, call, requestUnits)
	if call.window == c.window.number {
		e.correctTotal(c, call, total, corrected+granted, carriedOver)
	}
}

// totalWithoutEstimates returns what the gateways had reported before a call's lease and write-off were
// added.
//
// Two gateways may write off the same refill. Each takes its own as a guess, and who came second finds too
// much there and takes it back. What a call takes back is no such guess, nor the level carried over from the
// window before.
func (call *counterCall) totalWithoutEstimates(total float64) float64 {
	reported := total - call.leaseUnits
	if !call.carriedOver {
		reported -= max(call.adjustment, 0)
	}
	return reported
}

// recordReport counts a report in the mean of reports.
func (b *sharedBucket) recordReport(spent float64) {
	if spent > 0 {
		b.meanReport += reportGain * (spent - b.meanReport)
	}
}

// totalAfterOverflow returns what the total should be once the refill that nobody has used is written off,
// but for the slack.
func (c *customer) totalAfterOverflow(call counterCall, reported float64) float64 {
	lag := min(c.shared.meanReport/2*c.quota.gatewayCount, maxReportLag*c.quota.burst)
	return max(reported, call.refill-lag)
}

// grantDeferred adds to the lease what the remaining units of the store pay for, and returns it.
func (e *Engine) grantDeferred(c *customer, call counterCall, requestUnits float64) float64 {
	granted := affordableUnits(call.leaseUnits, c.shared.balance, requestUnits)
	c.shared.exhausted = granted < call.leaseUnits || call.leaseUnits == 0 && c.shared.balance < requestUnits
	if c.shared.exhausted {
		maxMissing := c.maxRefillWaitRequests() * requestUnits
		missing := min(2*requestUnits-c.shared.balance+granted, maxMissing)
		c.exhaustedUntil = e.refilledAt(c, missing)
	}
	c.shared.balance -= granted
	c.shared.balanceAt = e.now
	c.lease.add(granted, e.now+deferredLeaseLifetime)
	return granted
}

// maxRefillWaitRequests returns the requests whose units an exhausted store earns before it is called for
// again, at most. The more gateways call for what comes free, the later there is some for this one.
func (c *customer) maxRefillWaitRequests() float64 {
	if c.withinFairShare() {
		return maxRefillWait
	}
	return max(maxRefillWait, c.quota.gatewayCount/2)
}

// correctTotal moves the counter's total to a target, where they differ by enough to be worth a call:
// by refill that nobody used, or by what a call for a lease was not granted.
func (e *Engine) correctTotal(
	c *customer, call counterCall, total, target float64, carriedOver bool,
) {
	c.window.lastTotal = total
	correction := target - total
	requestUnits := c.nextRequestUnits()
	startsWindow := carriedOver && correction > requestUnits
	if correction <= maxOverflow*c.quota.burst && correction >= -minCorrection*requestUnits &&
		!startsWindow {
		return
	}
	c.shared.overflow = 0
	c.window.lastTotal += correction
	next := call.newCorrection(correction)
	next.refill = call.refill
	next.carriedOver = carriedOver
	e.callCounter(next)
}
