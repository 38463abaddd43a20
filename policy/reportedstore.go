package policy

// A store kept by reports. Each is a share or a count that holds for any deployment.
const (
	reportShare        = 1.0 / 3 // of the burst: what a gateway may have spent and not told
	minReport          = 2.0     // units that it may have, however small the burst, lest each cost a call
	reportGain         = 0.2     // weight of the newest report in their mean
	maxUnusedRefill    = 0.75    // of the burst: refill that nobody has used is written off once it is so much
	maxReportSlack     = 0.25    // of the burst: refill left for spending that has not been told yet
	carryOverTime      = 30.0    // seconds for which the level of the last window stands in a new one
	exhaustedCheckTime = 1.0     // seconds after a dry spell in which a call only looks
)

// reportedStore is what this gateway knows of a store that is kept by reports. Other stores don't use it.
type reportedStore struct {
	unusedRefill float64 // units of refill that nobody had used at the last call
	meanReport   float64 // units that a call reports as spent, exponential mean
	remaining    float64 // units that the last call left in the store
	remainingAt  float64 // when remaining was seen
	exhausted    bool    // the last call found too few units
}

// reportSpent tells the counter what own shares have spent, once it is much; less goes with the next lease.
func (e *Engine) reportSpent(c *customer) {
	most := max(c.quota.localBurst, reportShare*c.quota.allowance, minReport)
	if c.unreportedUnits < most || c.calls.pending > 0 || c.backoff.active(e.now) {
		return
	}
	c.enterWindow(e.now)
	floor := c.windowRefill(e.now)
	call := c.newReport(floor)
	call.writeOff = c.refillToWriteOff(floor)
	e.callCounter(call)
}

// refillToWriteOff is the refill that a call writes off since nobody has used it: as much as this gateway
// found at its last look, for all gateways together call about as often as before.
func (c *customer) refillToWriteOff(floor float64) float64 {
	return min(c.store.unusedRefill, max(floor-c.window.lastTotal, 0))
}

// reconcileReportedStore takes the answer for a store that is kept by reports. Each gateway spends its own
// share with no call and tells of it later. So the total is what all have told, and lags behind what they
// have spent by about half a mean report for each. The store is full where the total lies below the refill
// by no more than that (slack); what lies further below has not been used, and is written off, lest a burst
// find it all at once.
//
// In any time L a customer gets at most rate*L, the burst that is lent, maxUnusedRefill+maxReportSlack
// bursts that were not written off yet, what was leased before, and what each gateway has spent and not
// told: its own share, reportShare of a burst or minReport, whichever is most. Over long times that is the
// rate.
func (e *Engine) reconcileReportedStore(c *customer, call counterCall, total float64) {
	// Two gateways may write off the same refill. Each takes its own as a guess, and who came second
	// finds too much there and takes it back. What a call takes back is none, nor what goes on from a window.
	taken := total - call.leaseUnits
	if !call.carriedOver {
		taken -= max(call.writeOff, 0)
	}
	if call.spent > 0 {
		c.store.meanReport += reportGain * (call.spent - c.store.meanReport)
	}
	burst, unit := c.quota.allowance, c.nextRequestUnits()
	lent := max(c.quota.overdraft, min(unit, burst)) // what a full store can pay for is let in
	slack := min(c.store.meanReport/2*c.quota.gatewayCount, maxReportSlack*burst)
	level := max(taken, call.refill-slack)
	c.store.unusedRefill = level - taken
	fresh := taken-call.spent < minCorrection && e.now-c.store.remainingAt < carryOverTime
	if fresh {
		// A window begins with a full store. One that was empty a moment ago goes on from there, or
		// each window would let in a burst more.
		level = max(level, call.refill+lent-c.store.remaining)
	}
	c.store.remaining = min(lent-(level-call.refill), burst)
	grant := affordableUnits(call.leaseUnits, c.store.remaining, unit)
	c.store.exhausted = grant < call.leaseUnits || call.leaseUnits == 0 && c.store.remaining < unit
	if c.store.exhausted {
		most := maxExhaustedUnits
		if !c.withinFairRate() { // the more gateways ask for what comes free, the later there is some for this one
			most = max(most, c.quota.gatewayCount/2)
		}
		short := min(2*unit-c.store.remaining+grant, most*unit)
		c.exhaustedUntil = e.now + max(short/max(c.quota.rate, 1e-3), e.settings.Tick)
	}
	c.store.remaining, c.store.remainingAt = c.store.remaining-grant, e.now
	c.lease.units += grant
	if grant > 0 {
		c.lease.expiresAt = e.now + 2*leaseTargetDuration
	}
	if call.window != c.window.number {
		return
	}
	c.window.lastTotal = total
	wrong := level + grant - total // refill that nobody used, or what the call asked for and did not get
	if wrong <= maxUnusedRefill*burst && wrong >= -minCorrection*unit && !(fresh && wrong > unit) {
		return
	}
	c.store.unusedRefill = 0
	c.window.lastTotal += wrong
	correction := call.newCorrection(wrong)
	correction.refill = call.refill
	correction.carriedOver = fresh
	e.callCounter(correction)
}
