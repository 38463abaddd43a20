package policy

import (
	"math"
	"slices"
)

// The quota of a customer over all its gateways: leases from the counter, the gateway's own share for when
// the counter grants nothing, and places for attempts out at once. admit is the first step of a request;
// engine.go has the others.

// Tuned values of the quota. Each is a share or a count that holds for any deployment.
const (
	// Leases on the shared counter.
	maxSmallGatewaySet  = 5.0  // gateways of a customer that are few
	longWindow          = 50.0 // seconds of a long window; names live 60 s at most
	maxExhaustedUnits   = 3.0  // units of refill after which an empty store is asked for again
	minCorrection       = 0.25 // of a unit; less is not worth a call
	ceilingLeaseShare   = 0.22 // part of a ceiling's burst that a window may lease; the rest is for local shares
	counterNameTTL      = 60.0 // seconds a name lives: longer than its window
	leaseLifeShare      = 0.5  // a lease lives this part of its window
	maxUnansweredCalls  = 64   // calls with no answer that are remembered, should one come late
	minCounterBackoff   = 0.25 // first pause after a failed call, seconds; doubles
	maxCounterBackoff   = 2.0  // longest pause
	demandAveragingTime = 2.0  // seconds over which demand is averaged
	counterFailureGain  = 0.05 // weight of the newest call in the share of calls that fail
	shedFactor          = 4.0  // so many times that share of calls are left out: a crowded counter gets air
	maxShedShare        = 0.9

	// Places for attempts out at once.
	concurrencyUtilization = 0.65 // mean use of the places, where they are kept as a rate
	concurrencyRateWindow  = 1.0  // seconds of the window for that

	// A store kept by reports.
	minUnitsPerGateway  = 4.0     // units of refill a window and gateway, lest reports come too late
	localUnits          = 5.0     // units that one of many holds, as far as that is so many bursts for all
	smallSetOverdraft   = 0.8     // part of the burst that the counter lends where gateways are few
	largeSetOverdraft   = 2.0     // and where they are many: what these hold ahead would pass for a dry spell
	reportShare         = 1.0 / 3 // of the burst: what a gateway may have spent and not told
	minReport           = 2.0     // units that it may have, however small the burst, lest each cost a call
	reportGain          = 0.2     // weight of the newest report in their mean
	leaseTargetDuration = 45.0    // seconds that a lease is to last, at the mean demand of so long
	maxLeaseShare       = 0.25    // part of what the store had at the last look that one lease takes ahead
	maxUnusedRefill     = 0.75    // of the burst: refill that nobody has used is written off once it is so much
	maxReportSlack      = 0.25    // of the burst: refill left for spending that has not been told yet
	carryOverTime       = 30.0    // seconds for which the level of the last window stands in a new one
	maxQuotaWaitShare   = 0.4     // part of its time that a request may wait for the end of a dry spell
	exhaustedCheckTime  = 1.0     // seconds after a dry spell in which a call only looks

	customerIdleTimeout = 60.0 // seconds after which a customer is forgotten
)

// admit lets a customer's waiting requests go as far as its leases reach.
func (e *Engine) admit(c *customer) {
	limited := c.quota.rate > 0
	for len(c.waiting) > 0 {
		req := c.waiting[0]
		if c.quota.concurrencyLimit > 0 && c.openAttempts >= c.quota.localConcurrency {
			if c.quota.localConcurrency > 0 {
				return // a place may come free before its time is over
			}
			// Were places leased, each gateway's asks would look to the others like places that are
			// taken, and crowd the counter. So each has its own, and a client comes to another gateway.
			e.answerWithout(req, ReasonConcurrency)
			continue
		}
		if limited {
			e.enterWindow(c)
			switch {
			case c.lease.units >= req.Units:
				c.lease.units -= req.Units
				// With a counter that answers now and then, leases and the local share would
				// add up to more than the quota. So leases count against the share too.
				if !c.quota.reportedStore {
					c.takeLocalTokens(e.now, 0)
					c.local.tokens = max(c.local.tokens-req.Units, -c.quota.localBurst)
				}
			case c.quota.reportedStore && c.takeLocalTokens(e.now, req.Units):
				c.unreportedUnits += req.Units
				e.reportSpent(c)
			case c.calls.pendingLeases > 0:
				return
			case e.now < c.exhaustedUntil:
				if c.refillsSoon(req, e.settings.MaxRetryAfter) {
					return // held
				}
				if !c.quota.admitsOverQuota || !c.takeLocalTokens(e.now, req.Units) {
					e.answerWithout(req, ReasonQuota)
					continue
				}
				req.level = 0 // beyond the quota, as far as is known here
			case !e.settings.Counter || e.now < c.backoff.until:
				if !c.takeLocalTokens(e.now, req.Units) {
					if e.settings.Counter && c.quota.smallGatewaySet &&
						c.backoff.until+e.latency.mean < req.answerBy {
						return // held: a crowded counter may have room in a moment
					}
					e.answerWithout(req, ReasonQuota)
					continue
				}
				c.unreportedUnits += req.Units
			default:
				e.requestLease(c)
				continue
			}
		}
		c.waiting = c.waiting[1:]
		c.openAttempts++
		req.admitted = true
		e.enqueue(req)
		e.dispatch()
	}
}

// refillsSoon tells whether a request may wait for the end of a dry spell, given how long its client would
// stay away after a refusal: not longer, for a refusal would bring it again, and no large part of its time.
// A gateway is dry for a moment where others hold what they leased ahead, though the customer is inside its
// quota; not so where all of the rate wouldn't do for what comes here, or in a short window that is used
// up.
func (c *customer) refillsSoon(req *request, away float64) bool {
	return c.quota.reportedStore && c.demand.sustainedRate < c.quota.rate &&
		c.exhaustedUntil < req.SentAt+min(away, maxQuotaWaitShare*(req.answerBy-req.SentAt))
}

// takeLocalTokens spends from the customer's share at this gateway.
func (c *customer) takeLocalTokens(now, units float64) bool {
	c.local.tokens = min(c.local.tokens+c.quota.localRate*(now-c.local.updatedAt), c.quota.localBurst)
	if c.local.updatedAt = now; c.local.tokens < units {
		return false
	}
	c.local.tokens -= units
	return true
}

// refund takes back what a request had paid that was never sent. Where own shares are reported it goes to
// these, and the next call takes it out of the total: a lease lasts long, and all would miss it meanwhile.
func (c *customer) refund(units float64) {
	if !c.quota.reportedStore {
		c.lease.units += units
		return
	}
	c.unreportedUnits -= units
	c.local.tokens = min(c.local.tokens+units, c.quota.localBurst)
}

// withinFairRate tells whether no more comes to this gateway than its part of the customer's rate.
func (c *customer) withinFairRate() bool {
	return c.demand.sustainedRate*c.quota.gatewayCount < c.quota.rate
}

// leaseSize is the size of the next lease: what the demand of a second needs, at first all of the share.
func (c *customer) leaseSize() float64 {
	if !c.counterSeen {
		return c.quota.initialLease
	}
	return min(c.demand.rate, c.quota.initialLease)
}

// enterWindow moves to the counter's present window of this customer, and tells the total at which its
// store is full. Windows of different customers end at different times, so that not all are asked for at
// once.
func (e *Engine) enterWindow(c *customer) (floor float64) {
	n := math.Floor(e.now/c.quota.window + c.phase())
	if n != c.window.number {
		if c.window.number, c.window.lastTotal = n, 0; !c.quota.reportedStore {
			c.unreportedUnits, c.exhaustedUntil = 0, 0
		}
		c.window.name = hash(hash(uint64(c.id)) + uint64(int64(n)))
	}
	if c.quota.refillsWithinWindow {
		floor = c.quota.rate * (e.now - (n-c.phase())*c.quota.window)
	}
	return floor
}

// shedCounterCall leaves a call out, the more often the more of late have failed. Each of many gateways
// learns for itself that a quota is used up, and a client that was refused for it comes again elsewhere, so
// most calls of a crowd are for repeats, and get nothing. Those go first, and the lowest level before others.
func (e *Engine) shedCounterCall(c *customer) bool {
	req, out := c.waiting[0], min(shedFactor*e.counter.failureRate, maxShedShare)
	if !c.quota.smallGatewaySet { // of few gateways, this one knows what is used up
		all, below := 0.0, 0.0
		for l, rate := range e.queue.arrivalRates {
			if all += rate; l < req.level {
				below += rate
			}
		}
		from, part := 0.0, e.retries.clientShare
		if !req.IsRetry {
			from, part = e.retries.clientShare, 1-e.retries.clientShare
		}
		if all > 0 {
			from, part = from+part*below/all, part*e.queue.arrivalRates[req.level]/all
		}
		out = min((out-from)/max(part, counterFailureGain/2), maxShedShare)
	}
	if e.rng.Float64() >= out {
		return false
	}
	c.backoff.until = e.now + minCounterBackoff
	return true
}

// requestLease asks for a block, and tells what has been spent from the local share in this window.
func (e *Engine) requestLease(c *customer) {
	if e.shedCounterCall(c) {
		return
	}
	need := 0.0
	for _, req := range c.waiting {
		need += req.Units
	}
	floor := e.enterWindow(c)
	call := counterCall{customer: c, name: c.window.name, window: c.window.number, refill: floor,
		spent: c.unreportedUnits, isLease: true}
	if c.quota.reportedStore {
		call.writeOff = c.refillToWriteOff(floor)
		// Of a customer beyond its quota most calls get nothing, and what they added is missing to the
		// others until it is back. So the next one after that looks first, and a further one takes. Of many
		// gateways one that gets no more than its part of the rate was dry by others' leases: it needs no look.
		switch {
		case !c.store.exhausted || e.now > c.exhaustedUntil+exhaustedCheckTime:
			ahead := min(c.demand.sustainedRate*leaseTargetDuration, c.store.remaining*maxLeaseShare)
			call.leaseUnits = need + math.Floor(max(ahead, 0))
		case !c.quota.smallGatewaySet && c.withinFairRate():
			call.leaseUnits = need
		}
	} else {
		need = math.Ceil(need) + math.Floor(c.leaseSize()) // a unit that nobody comes for is missing to the others
		call.leaseUnits = max(min(need, c.quota.allowance), 1)
		if call.writeOff = max(floor-c.window.lastTotal, 0); c.window.lastTotal == 0 {
			// A window that is new to this gateway may be new to all. The call that starts it must
			// tell, in one step, that not all of the store is there; who was not the first takes it back.
			call.writeOff = floor + c.quota.allowance - c.quota.initialAllowance
		}
	}
	c.unreportedUnits = 0
	e.callCounter(call, counterNameTTL)
}

// handleCounterReply takes the answer to a call. An unanswered call grants nothing: it may have been added,
// and the next totals will tell. Neither does one whose answer can't be read, but that was added, so the
// next call takes it back, and what it wrote off, which the next call writes off again. Under a ceiling
// that stays: the first call of a window must not find less there than it told. A short window has no
// refill to write off.
func (e *Engine) handleCounterReply(event CounterReply) {
	call, ok := e.takePendingCall(event.Name)
	if !ok {
		return
	}
	c := call.customer
	e.counter.failureRate -= counterFailureGain * e.counter.failureRate
	if event.Outcome == TimedOut && call.window == c.window.number {
		kept := max(len(e.counter.unanswered)+1-maxUnansweredCalls, 0)
		e.counter.unanswered = append(e.counter.unanswered[kept:], call)
	}
	switch {
	case event.Outcome == Failed || event.Outcome == ConnectionReset:
		// A spoilt answer or connection says nothing of a crowd. Were it taken for one, calls would be
		// left out that the counter bears, and customers refused inside their quotas.
		if event.Outcome == Failed {
			c.reclaimLease(call)
		}
		c.backoff.until = e.now + c.backoff.pause // the first time none at all
		c.backoff.pause = min(max(2*c.backoff.pause, minCounterBackoff), maxCounterBackoff)
	case event.Outcome != Served:
		// A unit that was not given back is missing to all gateways. A call turned away has
		// changed nothing and is made again; one unanswered may have counted and is let be.
		if event.Outcome != TimedOut {
			c.requeueReport(call)
		}
		if event.Outcome != Rejected {
			c.local.tokens, c.local.fallback = c.local.tokens+c.local.fallback, 0
		}
		e.counter.failureRate += counterFailureGain
		c.backoff.pause = min(max(2*c.backoff.pause, minCounterBackoff), maxCounterBackoff)
		c.backoff.until = e.now + c.backoff.pause
	case call.leaseUnits > 0 || c.quota.reportedStore:
		c.backoff.pause = 0
		e.applyGrant(c, call, event.Total)
	}
	e.admit(c)
}

// reclaimLease has the next call take back what a call added for nothing.
func (c *customer) reclaimLease(call counterCall) {
	if call.leaseUnits > 0 && call.window == c.window.number {
		if c.unreportedUnits -= call.leaseUnits; c.quota.reportedStore {
			c.unreportedUnits -= call.writeOff
		}
	}
}

// requeueReport has the next call tell what a call that was not added was to tell.
func (c *customer) requeueReport(call counterCall) {
	if c.quota.reportedStore {
		// Spending counts from an earlier window too; what was written off there says nothing of this one.
		c.unreportedUnits += call.spent
		if call.window == c.window.number {
			c.unreportedUnits += min(call.writeOff, 0)
		}
	} else if call.window == c.window.number && call.name == c.window.name {
		if c.unreportedUnits += call.spent; call.leaseUnits == 0 {
			c.unreportedUnits += call.writeOff
		}
	}
}

// handleLateCounterReply takes what came of a call after it was given up. A counter that is slow for a moment
// adds all the same, and what it added and nobody uses is missing at all gateways. So a late total grants
// as one in time would, and ends the rest. It stands for a counter slow for all, and where silence was a
// network's; a total too old for its window is of no use.
func (e *Engine) handleLateCounterReply(event LateCounterReply) {
	at := slices.IndexFunc(e.counter.unanswered, func(call counterCall) bool { return call.id == event.Call })
	if at < 0 {
		return
	}
	call := e.counter.unanswered[at]
	c := call.customer
	e.counter.unanswered = slices.Delete(e.counter.unanswered, at, at+1)
	if call.window != c.window.number || event.Outcome == TimedOut || event.Outcome == ConnectionReset {
		return
	}
	switch {
	case event.Outcome == Failed:
		c.reclaimLease(call)
	case event.Outcome != Served:
		c.requeueReport(call)
	case call.leaseUnits > 0 || c.quota.reportedStore:
		c.backoff.pause, c.backoff.until = 0, e.now
		e.applyGrant(c, call, event.Total)
	}
	e.admit(c)
}

// nextRequestUnits is what the first request that waits needs, or one.
func (c *customer) nextRequestUnits() float64 {
	if len(c.waiting) == 0 {
		return 1
	}
	return max(c.waiting[0].Units, 1e-3)
}

// affordableUnits is what of a block a store pays for that has so much, in whole units of the first request.
func affordableUnits(block, avail, unit float64) float64 {
	return max(min(block, math.Floor(avail/unit+1e-3)*unit), 0)
}

// applyGrant keeps what fits of a block. An exact store gets the rest back. In a short window it is left:
// there is nothing for anyone until the next, and the calls for it would be as many as those for units.
func (e *Engine) applyGrant(c *customer, call counterCall, total float64) {
	if c.quota.reportedStore {
		e.reconcileStore(c, call, total)
		return
	}
	before := total - call.writeOff - call.leaseUnits
	target := max(before, call.refill)
	if before-call.spent < minCorrection { // the window is new, or the counter has lost it
		target = max(target, c.window.lastTotal, call.refill+c.quota.allowance-c.quota.initialAllowance)
	}
	unit, avail := c.nextRequestUnits(), c.quota.allowance-(target-call.refill)
	grant := affordableUnits(call.leaseUnits, avail, unit)
	if grant < call.leaseUnits {
		// Another gateway may be about to take back what it wrote off twice; until it has, the store
		// looks emptier than it is.
		short := min(2*unit-avail+grant, maxExhaustedUnits*unit)
		c.exhaustedUntil = e.now + max(short/max(c.quota.rate, 1e-3), e.settings.Tick)
		if !c.quota.smallGatewaySet {
			c.exhaustedUntil = (call.window + 1 - c.phase()) * c.quota.window
		}
	}
	c.lease.units += grant
	if grant > 0 {
		c.lease.expiresAt = e.now + leaseLifeShare*c.quota.allowance/max(c.quota.rate, 1e-3)
	}
	if c.window.number == call.window {
		c.window.lastTotal = target + grant
	}
	c.counterSeen = true
	if more := target + grant - total; c.quota.smallGatewaySet && math.Abs(more) > minCorrection*unit {
		// Less, or what an emptied counter lost.
		correction := counterCall{customer: c, name: call.name, window: call.window, writeOff: more}
		e.callCounter(correction, counterNameTTL)
	}
}

// reportSpent tells the counter what own shares have spent, once it is much; less goes with the next lease.
func (e *Engine) reportSpent(c *customer) {
	most := max(c.quota.localBurst, reportShare*c.quota.allowance, minReport)
	if c.unreportedUnits < most || c.calls.pending > 0 || e.now < c.backoff.until {
		return
	}
	floor := e.enterWindow(c)
	call := counterCall{customer: c, name: c.window.name, window: c.window.number, refill: floor,
		spent: c.unreportedUnits, writeOff: c.refillToWriteOff(floor)}
	c.unreportedUnits = 0
	e.callCounter(call, counterNameTTL)
}

// refillToWriteOff is the refill that a call writes off since nobody has used it: as much as this gateway
// found at its last look, for all gateways together call about as often as before.
func (c *customer) refillToWriteOff(floor float64) float64 {
	return min(c.store.unusedRefill, max(floor-c.window.lastTotal, 0))
}

// reconcileStore takes the answer for a store that is kept by reports. Each gateway spends its own share
// with no call and tells of it later. So the total is what all have told, and lags behind what they have
// spent by about half a mean report for each. The store is full where the total lies below the refill by no
// more than that (slack); what lies further below has not been used, and is written off, lest a burst find
// it all at once.
//
// In any time L a customer gets at most rate*L, the burst that is lent, maxUnusedRefill+maxReportSlack
// bursts that were not written off yet, what was leased before, and what each gateway has spent and not
// told: its own share, reportShare of a burst or minReport, whichever is most. Over long times that is the
// rate.
func (e *Engine) reconcileStore(c *customer, call counterCall, total float64) {
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
	correction := counterCall{customer: c, name: call.name, window: call.window, refill: call.refill,
		writeOff: wrong, carriedOver: fresh}
	e.callCounter(correction, counterNameTTL)
}
