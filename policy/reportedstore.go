package policy

import "math"

// The reported store: each gateway spends its local tokens without a call and reports them later. A customer
// that stays within its quota costs few calls so.

// Each of these holds for any deployment.
const (
	reportShare = 1.0 / 3 // of the burst: what a gateway may have spent and not reported
	minReport   = 2.0     // units that it may have, however small the burst, lest each cost a call
	reportGain  = 0.2     // weight of the newest report in their mean

	maxUnusedRefill = 0.75 // of the burst: refill that nobody has used is written off once it is so much
	maxReportSlack  = 0.25 // of the burst: refill left for spending that has not been reported yet
	carryOverTime   = 30.0 // seconds for which the level of the last window stands in a new one

	maxLeaseShare         = 0.25 // of what the last call left in the store: what one lease takes ahead
	leaseTargetDuration   = 45.0 // seconds that a lease is to last, at the mean demand of so long
	reportedLeaseLifetime = 2 * leaseTargetDuration
	exhaustedCheckTime    = 1.0 // seconds after an exhaustion in which a call only looks
)

// reportedStore is what this gateway knows of a reported store. A windowed store doesn't use it.
type reportedStore struct {
	unusedRefill float64 // units of refill that nobody had used at the last call
	meanReport   float64 // units that a call reports as spent, exponential mean
	remaining    float64 // units that the last call left in the store
	remainingAt  float64 // when remaining was seen
	exhausted    bool    // the last call found too few units
}

// reportedLeaseUnits returns the size of the next lease: what waits, and what is to be taken ahead. It is 0
// where a call is to look first.
//
// Of a customer beyond its quota most calls are granted nothing, and what they added is missing at the other
// gateways until it is taken back. So the next call after such a one only looks, and a further one takes. Of
// many gateways, one that gets no more than its part of the rate was exhausted by the others' leases: it
// needs no look.
func (c *customer) reportedLeaseUnits(now float64) float64 {
	switch {
	case !c.store.exhausted || now > c.exhaustedUntil+exhaustedCheckTime:
		ahead := min(c.demand.sustainedRate*leaseTargetDuration, c.store.remaining*maxLeaseShare)
		return c.waitingUnits() + math.Floor(max(ahead, 0))
	case !c.quota.smallGatewaySet && c.withinFairRate():
		return c.waitingUnits()
	}
	return 0
}

// reportSpent reports to the counter what was spent from local tokens, once it is much. Less goes with the
// next lease.
func (e *Engine) reportSpent(c *customer) {
	maxUnreported := max(c.quota.localBurst, reportShare*c.quota.allowance, minReport)
	if c.unreportedUnits < maxUnreported || c.calls.pending > 0 || c.backoff.active(e.now) {
		return
	}
	c.enterWindow(e.now)
	refill := c.windowRefill(e.now)
	call := c.newReport(refill)
	call.writeOff = c.reportedWriteOff(refill)
	e.callCounter(call)
}

// reportedWriteOff returns the refill that the next call writes off since nobody has used it: as much as this
// gateway found at its last call, for all gateways together call about as often as before.
func (c *customer) reportedWriteOff(refill float64) float64 {
	return min(c.store.unusedRefill, max(refill-c.window.lastTotal, 0))
}

// reconcileReportedStore takes a lease from the total that a call returned, and corrects the total.
//
// The total is what all gateways have reported, and lags behind what they have spent by about half a mean
// report for each. The store is full where the total lies below the refill by no more than that (the slack).
// What lies further below has not been used, and is written off, lest a burst find it all at once.
//
// In any time L a customer gets at most rate*L, the overdraft, maxUnusedRefill+maxReportSlack bursts that
// were not written off yet, what was leased before, and what each gateway has spent and not reported: its
// local tokens, reportShare of a burst or minReport, whichever is most. Over long times that is the rate.
func (e *Engine) reconcileReportedStore(c *customer, call counterCall, total float64) {
	reported := call.reportedBefore(total)
	c.store.recordReport(call.spent)
	requestUnits := c.nextRequestUnits()
	burst := c.quota.allowance
	overdraft := max(c.quota.overdraft, min(requestUnits, burst)) // what a full store can pay for is admitted

	level := c.levelAfterWriteOff(call, reported)
	c.store.unusedRefill = level - reported
	carriedOver := reported-call.spent < minCorrection && e.now-c.store.remainingAt < carryOverTime
	if carriedOver {
		// A window begins with a full store. One that was empty a moment ago goes on from there, or
		// each window would admit a burst more.
		level = max(level, call.refill+overdraft-c.store.remaining)
	}
	c.store.remaining = min(overdraft-(level-call.refill), burst)
	granted := e.grantFromReportedStore(c, call, requestUnits)
	if call.window == c.window.number {
		e.correctReportedTotal(c, call, total, level+granted, carriedOver)
	}
}

// reportedBefore returns what the gateways had reported before a call's lease and write-off were added.
//
// Two gateways may write off the same refill. Each takes its own as a guess, and who came second finds too
// much there and takes it back. What a call takes back is no such guess, nor the level carried over from the
// window before.
func (call *counterCall) reportedBefore(total float64) float64 {
	reported := total - call.leaseUnits
	if !call.carriedOver {
		reported -= max(call.writeOff, 0)
	}
	return reported
}

// recordReport counts a report in the mean of reports.
func (s *reportedStore) recordReport(spent float64) {
	if spent > 0 {
		s.meanReport += reportGain * (spent - s.meanReport)
	}
}

// levelAfterWriteOff returns what the total should be once the refill that nobody has used is written off,
// but for the slack.
func (c *customer) levelAfterWriteOff(call counterCall, reported float64) float64 {
	slack := min(c.store.meanReport/2*c.quota.gatewayCount, maxReportSlack*c.quota.allowance)
	return max(reported, call.refill-slack)
}

// grantFromReportedStore adds to the lease what the remaining units of the store pay for, and returns it.
func (e *Engine) grantFromReportedStore(c *customer, call counterCall, requestUnits float64) float64 {
	granted := affordableUnits(call.leaseUnits, c.store.remaining, requestUnits)
	c.store.exhausted = granted < call.leaseUnits || call.leaseUnits == 0 && c.store.remaining < requestUnits
	if c.store.exhausted {
		maxMissing := c.maxMissingRequests() * requestUnits
		missing := min(2*requestUnits-c.store.remaining+granted, maxMissing)
		c.exhaustedUntil = e.refilledAt(c, missing)
	}
	c.store.remaining -= granted
	c.store.remainingAt = e.now
	c.lease.add(granted, e.now+reportedLeaseLifetime)
	return granted
}

// maxMissingRequests returns the requests whose units an exhausted store earns before it is called for again,
// at most. The more gateways call for what comes free, the later there is some for this one.
func (c *customer) maxMissingRequests() float64 {
	if c.withinFairRate() {
		return maxExhaustedUnits
	}
	return max(maxExhaustedUnits, c.quota.gatewayCount/2)
}

// correctReportedTotal moves the counter's total to a target, where they differ by enough to be worth a call:
// by refill that nobody used, or by what a call for a lease was not granted.
func (e *Engine) correctReportedTotal(
	c *customer, call counterCall, total, target float64, carriedOver bool,
) {
	c.window.lastTotal = total
	correction := target - total
	requestUnits := c.nextRequestUnits()
	startsWindow := carriedOver && correction > requestUnits
	if correction <= maxUnusedRefill*c.quota.allowance && correction >= -minCorrection*requestUnits &&
		!startsWindow {
		return
	}
	c.store.unusedRefill = 0
	c.window.lastTotal += correction
	next := call.newCorrection(correction)
	next.refill = call.refill
	next.carriedOver = carriedOver
	e.callCounter(next)
}
