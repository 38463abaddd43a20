package policy

// The quota of a customer over all its gateways: leases from the counter, the gateway's own share for when
// the counter grants nothing, and places for attempts out at once. admit is the first step of a request;
// engine.go has the others.

import (
	"math"
	"slices"
)

// Tuned values of the quota. Each is a share or a count that holds for any deployment.
const (
	// Leases on the shared counter.
	fewMost      = 5.0  // gateways of a customer that are few
	windowLen    = 50.0 // seconds of a long window; names live 60 s at most
	dryMost      = 3.0  // units of refill after which an empty store is asked for again
	refundLeast  = 0.25 // of a unit; less is not worth a call
	ceilingLease = 0.22 // part of a ceiling's burst that a window may lease; the rest is for local shares
	nameKeep     = 60.0 // seconds a name lives: longer than its window
	leaseShare   = 0.5  // a lease lives this part of its window
	lostMost     = 64   // calls with no answer that are remembered, should one come late
	counterRest  = 0.25 // first pause after a failed call, seconds; doubles
	counterMost  = 2.0  // longest pause
	demandSpan   = 2.0  // seconds over which demand is averaged
	crowdGain    = 0.05 // weight of the newest call in the share of calls that fail
	crowdFactor  = 4.0  // so many times that share of calls are left out: a crowded counter gets air
	crowdMost    = 0.9

	// Places for attempts out at once.
	placeUse    = 0.65 // mean use of the places, where they are kept as a rate
	placeWindow = 1.0  // seconds of the window for that

	// A store kept by reports.
	denseLeast = 4.0     // units of a window's refill for each of many gateways, lest reports come too late
	ownUnits   = 5.0     // units that one of many holds, as far as that is so many bursts for all
	lentFew    = 0.8     // part of the burst that the counter lends where gateways are few
	lentMany   = 2.0     // and where they are many: what these hold ahead would pass for a dry spell
	reportPart = 1.0 / 3 // of the burst: what a gateway may have spent and not told
	reportMin  = 2.0     // units that it may have, however small the burst, lest each cost a call
	reportGain = 0.2     // weight of the newest report in their mean
	leaseSpan  = 45.0    // seconds that a lease is to last, at the mean demand of so long
	leaseMost  = 0.25    // part of what the store had at the last look that one lease takes ahead
	lagMost    = 0.75    // of the burst: refill that nobody has used is written off once it is so much
	slackMost  = 0.25    // of the burst: refill left for spending that has not been told yet
	levelSpan  = 30.0    // seconds for which the level of the last window stands in a new one
	waitMost   = 0.4     // part of its time that a request may wait for the end of a dry spell
	dryLook    = 1.0     // seconds after a dry spell in which a call only looks

	idleDrop = 60.0 // seconds after which a customer is forgotten
)

// terms works out what a plan comes to for a customer of so many gateways.
//
// A store is kept by reports of what own shares have spent (settle) wherever a customer has few gateways, or
// these see enough of it. Under a ceiling, calls keep it alone: few gateways each see the totals often enough
// for an exact store, a long window whose allowance grows with time. Else each window is short and stands for
// itself.
//
// Under a ceiling, leases and local shares together never pass it. An exact store spends in any time L
// allowance*(1+leaseShare) + rate*L at most, and twice the first allowance if the counter comes back empty;
// short windows allowance*(2+leaseShare) + rate*L. The shares have the rest of burst and rate. Where a plan
// gains by what is served beyond its quota, they also pay for that, at the lowest level; without a ceiling
// nothing would bound it.
func (g *Gateway) terms(p *Plan, gateways, index int) terms {
	n := float64(max(gateways, 1))
	t := terms{gateways: n, rate: p.Rate, allowance: p.Burst, first: p.Burst / n, few: n <= fewMost,
		localRate: p.Rate / n, localBurst: max(p.Burst/n, 1), places: p.MaxConcurrent,
		share: (p.MaxConcurrent + gateways - 1 - index) / max(gateways, 1)} // their sum is the limit
	t.reported = g.set.Counter && p.CeilingRate <= 0 && p.Rate > 0 &&
		(t.few || p.Rate*windowLen >= denseLeast*n)
	switch {
	case t.reported && t.few:
		t.lent = lentFew * p.Burst
	case t.reported:
		t.lent, t.localBurst = lentMany*p.Burst, max(p.Burst/n, min(ownUnits, ownUnits*p.Burst/n), 1)
	}
	t.long = t.few || t.reported
	t.spare = t.allowance
	if p.CeilingRate > 0 {
		t.rate = min(p.Rate, p.CeilingRate)
		if t.few {
			t.allowance = min(p.Burst, p.CeilingBurst/(1+leaseShare))
			t.spare = (p.CeilingBurst - (1+leaseShare)*t.allowance) / 2
			t.localBurst = t.spare / n
		} else {
			t.allowance = min(p.Burst, p.CeilingBurst*ceilingLease)
			if (p.CeilingBurst-(2+leaseShare)*t.allowance)/n < 1 {
				// A share that never holds a unit pays for nothing, and is lost to the customer. So
				// leases have what they can use of it.
				t.allowance = min(p.Burst, p.CeilingBurst/(2+leaseShare))
			}
			t.spare, t.localBurst = t.allowance, (p.CeilingBurst-(2+leaseShare)*t.allowance)/n
		}
		t.first, t.localRate = t.allowance/n, (p.CeilingRate-t.rate)/n
		t.overWorth = p.OverWorth > p.OverCost
	}
	t.window = windowLen
	if !t.long {
		t.window = t.allowance / max(t.rate, 1e-3)
	}
	if !t.few && t.places > 0 {
		// Places kept by many hands are two calls a request, and stray. What they let through on
		// average is kept as a rate instead.
		if t.places = 0; t.rate == 0 && g.latency > 0 {
			t.rate = placeUse * float64(p.MaxConcurrent) / g.latency
			t.window, t.allowance, t.spare = placeWindow, t.rate*placeWindow, t.rate*placeWindow
			t.first, t.localRate = 1, t.rate/n
		}
	}
	return t
}

func (g *Gateway) customerOf(r Request) *customer {
	c := g.customers[r.Customer]
	if c == nil {
		c = &customer{id: r.Customer, localAt: g.born, window: -1, seen: g.now}
		g.customers[r.Customer] = c
		g.customerList = append(g.customerList, c)
		// A gateway that starts again may have spent its share in its last life. Under a ceiling
		// it earns the share anew; elsewhere a full store costs little.
		if p := g.set.Plans[r.Plan]; p.CeilingRate <= 0 {
			// Of many gateways each has less than a unit. Were each to begin with one, a counter that
			// turns calls away for a moment would let in a unit for each gateway. So they begin at random, and
			// together have the burst; the rest of the unit is for a counter that says nothing. Where there is no
			// counter, nothing else lets a customer in.
			t := g.terms(&p, r.Gateways, 0)
			c.local = t.localBurst
			if share := p.Burst / float64(max(r.Gateways, 1)); g.set.Counter && share < c.local {
				c.silent = max(c.local-share-g.rng.Float64(), 0)
				c.local -= c.silent
			}
			if t.reported && !t.few {
				c.local = 0 // the counter's store is full when they first ask: this would be a burst more
			}
		}
	}
	fleet := max(g.set.Fleet, 1)
	index := (g.set.Rank - r.FirstPeer + fleet) % fleet // this gateway's place in the customer's set
	c.terms = g.terms(&g.set.Plans[r.Plan], r.Gateways, max(min(index, r.Gateways-1), 0))
	c.demand = c.demand*math.Exp(-(g.now-c.seen)/demandSpan) + r.Units/demandSpan
	// What comes just now says nothing of what is to come after it.
	c.steady = (c.steady + c.newest/leaseSpan) * math.Exp(-(g.now-c.seen)/leaseSpan)
	c.newest = r.Units
	c.seen = g.now
	return c
}

// admit lets a customer's waiting requests go as far as its leases reach.
func (g *Gateway) admit(c *customer) {
	limited := c.terms.rate > 0
	for len(c.waiting) > 0 {
		j := c.waiting[0]
		if c.terms.places > 0 && c.open >= c.terms.share {
			if c.terms.share > 0 {
				return // a place may come free before its time is over
			}
			// Were places leased, each gateway's asks would look to the others like places that are
			// taken, and crowd the counter. So each has its own, and a client comes to another gateway.
			g.giveBack(j, ReasonCap)
			continue
		}
		if limited {
			g.roll(c)
			switch {
			case c.units >= j.Units:
				c.units -= j.Units
				// With a counter that answers now and then, leases and the local share would
				// add up to more than the quota. So leases count against the share too.
				if !c.terms.reported {
					c.takeLocal(g.now, 0)
					c.local = max(c.local-j.Units, -c.terms.localBurst)
				}
			case c.terms.reported && c.takeLocal(g.now, j.Units):
				c.owed += j.Units
				g.report(c)
			case c.asking > 0:
				return
			case g.now < c.dryUntil:
				if c.unitsSoon(j, g.set.MaxAdvice) {
					return // held
				}
				if !c.terms.overWorth || !c.takeLocal(g.now, j.Units) {
					g.giveBack(j, ReasonQuota)
					continue
				}
				j.level = 0 // beyond the quota, as far as is known here
			case !g.set.Counter || g.now < c.restTill:
				if !c.takeLocal(g.now, j.Units) {
					if g.set.Counter && c.terms.few && c.restTill+g.latency < j.giveUp {
						return // held: a crowded counter may have room in a moment
					}
					g.giveBack(j, ReasonQuota)
					continue
				}
				c.owed += j.Units
			default:
				g.lease(c)
				continue
			}
		}
		c.waiting = c.waiting[1:]
		c.open++
		j.paid = true
		g.enqueue(j)
		g.dispatch()
	}
}

// unitsSoon tells whether a request may wait for the end of a dry spell, given how long its client would stay
// away after a refusal: not longer, for a refusal would bring it again, and no large part of its time. A
// gateway is dry for a moment where others hold what they leased ahead, though the customer is inside its
// quota; not so where all of the rate wouldn't do for what comes here, or in a short window that is used up.
func (c *customer) unitsSoon(j *job, away float64) bool {
	return c.terms.reported && c.steady < c.terms.rate &&
		c.dryUntil < j.Sent+min(away, waitMost*(j.giveUp-j.Sent))
}

// takeLocal spends from the customer's share at this gateway.
func (c *customer) takeLocal(now, units float64) bool {
	c.local = min(c.local+c.terms.localRate*(now-c.localAt), c.terms.localBurst)
	if c.localAt = now; c.local < units {
		return false
	}
	c.local -= units
	return true
}

// refund takes back what a request had paid that was never sent. Where own shares are reported it goes to
// these, and the next call takes it out of the total: a lease lasts long, and all would miss it meanwhile.
func (c *customer) refund(units float64) {
	if !c.terms.reported {
		c.units += units
		return
	}
	c.owed -= units
	c.local = min(c.local+units, c.terms.localBurst)
}

// modest tells whether no more comes to this gateway than its part of the customer's rate.
func (c *customer) modest() bool { return c.steady*c.terms.gateways < c.terms.rate }

// block is the size of the next lease: what the demand of a second needs, at first all of the share.
func (c *customer) block() float64 {
	if !c.met {
		return c.terms.first
	}
	return min(c.demand, c.terms.first)
}

// roll moves to the counter's present window of this customer, and tells the total at which its store is
// full. Windows of different customers end at different times, so that not all are asked for at once.
func (g *Gateway) roll(c *customer) (floor float64) {
	n := math.Floor(g.now/c.terms.window + c.phase())
	if n != c.window {
		if c.window, c.known = n, 0; !c.terms.reported {
			c.owed, c.dryUntil = 0, 0
		}
		c.name = hash(hash(uint64(c.id)) + uint64(int64(n)))
	}
	if c.terms.long {
		floor = c.terms.rate * (g.now - (n-c.phase())*c.terms.window)
	}
	return floor
}

// crowded leaves a call out, the more often the more of late have failed. Each of many gateways
// learns for itself that a quota is used up, and a client that was refused for it comes again elsewhere, so
// most calls of a crowd are for repeats, and get nothing. Those go first, and the lowest level before others.
func (g *Gateway) crowded(c *customer) bool {
	j, out := c.waiting[0], min(crowdFactor*g.crowd, crowdMost)
	if !c.terms.few { // of few gateways, this one knows what is used up
		all, below := 0.0, 0.0
		for l, rate := range g.arrivals {
			if all += rate; l < j.level {
				below += rate
			}
		}
		from, part := 0.0, g.repeats
		if !j.Repeat {
			from, part = g.repeats, 1-g.repeats
		}
		if all > 0 {
			from, part = from+part*below/all, part*g.arrivals[j.level]/all
		}
		out = min((out-from)/max(part, crowdGain/2), crowdMost)
	}
	if g.rng.Float64() >= out {
		return false
	}
	c.restTill = g.now + counterRest
	return true
}

// lease asks for a block, and tells what has been spent from the local share in this window.
func (g *Gateway) lease(c *customer) {
	if g.crowded(c) {
		return
	}
	need := 0.0
	for _, j := range c.waiting {
		need += j.Units
	}
	floor := g.roll(c)
	k := call{customer: c, name: c.name, window: c.window, floor: floor, owed: c.owed, ask: true}
	if c.terms.reported {
		k.fill = c.unused(floor)
		// Of a customer beyond its quota most calls get nothing, and what they added is missing to the
		// others until it is back. So the next one after that looks first, and a further one takes. Of many
		// gateways one that gets no more than its part of the rate was dry by others' leases: it needs no look.
		switch {
		case !c.dry || g.now > c.dryUntil+dryLook:
			k.units = need + math.Floor(max(min(c.steady*leaseSpan, c.left*leaseMost), 0))
		case !c.terms.few && c.modest():
			k.units = need
		}
	} else {
		need = math.Ceil(need) + math.Floor(c.block()) // a unit that nobody comes for is missing to the others
		k.units = max(min(need, c.terms.allowance), 1)
		if k.fill = max(floor-c.known, 0); c.known == 0 {
			// A window that is new to this gateway may be new to all. The call that starts it must
			// tell, in one step, that not all of the store is there; who was not the first takes it back.
			k.fill = floor + c.terms.allowance - c.terms.spare
		}
	}
	c.owed = 0
	g.count(k, nameKeep)
}

// counted takes the answer to a call. An unanswered call grants nothing: it may have been added, and the
// next totals will tell. Neither does one whose answer can't be read, but that was added, so the next call
// takes it back, and what it wrote off, which the next call writes off again. Under a ceiling that stays: the
// first call of a window must not find less there than it told. A short window has no refill to write off.
func (g *Gateway) counted(e CounterReply) {
	k, ok := g.called(e.Name)
	if !ok {
		return
	}
	c := k.customer
	g.crowd -= crowdGain * g.crowd
	if e.Outcome == TimedOut && k.window == c.window {
		g.lost = append(g.lost[max(len(g.lost)+1-lostMost, 0):], k)
	}
	switch {
	case e.Outcome == Errored || e.Outcome == Broken:
		// A spoilt answer or connection says nothing of a crowd. Were it taken for one, calls would be
		// left out that the counter bears, and customers refused inside their quotas.
		if e.Outcome == Errored {
			c.takeBack(k)
		}
		c.restTill = g.now + c.rest // the first time none at all
		c.rest = min(max(2*c.rest, counterRest), counterMost)
	case e.Outcome != Served:
		// A unit that was not given back is missing to all gateways. A call turned away has
		// changed nothing and is made again; one unanswered may have counted and is let be.
		if e.Outcome != TimedOut {
			c.tellLater(k)
		}
		if e.Outcome != Full {
			c.local, c.silent = c.local+c.silent, 0
		}
		g.crowd += crowdGain
		c.rest = min(max(2*c.rest, counterRest), counterMost)
		c.restTill = g.now + c.rest
	case k.units > 0 || c.terms.reported:
		c.rest = 0
		g.granted(c, k, e.Total)
	}
	g.admit(c)
}

// takeBack has the next call take back what a call added for nothing.
func (c *customer) takeBack(k call) {
	if k.units > 0 && k.window == c.window {
		if c.owed -= k.units; c.terms.reported {
			c.owed -= k.fill
		}
	}
}

// tellLater has the next call tell what a call that was not added was to tell.
func (c *customer) tellLater(k call) {
	if c.terms.reported {
		c.owed += k.owed // also from an earlier window; what was written off there says nothing of this one
		if k.window == c.window {
			c.owed += min(k.fill, 0)
		}
	} else if k.window == c.window && k.name == c.name {
		if c.owed += k.owed; k.units == 0 {
			c.owed += k.fill
		}
	}
}

// countedLate takes what came of a call after it was given up. A counter that is slow for a moment
// adds all the same, and what it added and nobody uses is missing at all gateways. So a late total grants
// as one in time would, and ends the rest. It stands for a counter slow for all, and where silence was a
// network's; a total too old for its window is of no use.
func (g *Gateway) countedLate(e CounterLate) {
	at := slices.IndexFunc(g.lost, func(k call) bool { return k.id == e.Call })
	if at < 0 {
		return
	}
	k := g.lost[at]
	c := k.customer
	g.lost = slices.Delete(g.lost, at, at+1)
	if k.window != c.window || e.Outcome == TimedOut || e.Outcome == Broken {
		return
	}
	switch {
	case e.Outcome == Errored:
		c.takeBack(k)
	case e.Outcome != Served:
		c.tellLater(k)
	case k.units > 0 || c.terms.reported:
		c.rest, c.restTill = 0, g.now
		g.granted(c, k, e.Total)
	}
	g.admit(c)
}

// unit is what the first request that waits needs, or one.
func (c *customer) unit() float64 {
	if len(c.waiting) == 0 {
		return 1
	}
	return max(c.waiting[0].Units, 1e-3)
}

// fitting is what of a block a store pays for that has so much, in whole units of the first request.
func fitting(block, avail, unit float64) float64 {
	return max(min(block, math.Floor(avail/unit+1e-3)*unit), 0)
}

// granted keeps what fits of a block. An exact store gets the rest back. In a short window it is left: there
// is nothing for anyone until the next, and the calls for it would be as many as those for units.
func (g *Gateway) granted(c *customer, k call, total float64) {
	if c.terms.reported {
		g.settle(c, k, total)
		return
	}
	before := total - k.fill - k.units
	target := max(before, k.floor)
	if before-k.owed < refundLeast { // the window is new, or the counter has lost it
		target = max(target, c.known, k.floor+c.terms.allowance-c.terms.spare)
	}
	unit, avail := c.unit(), c.terms.allowance-(target-k.floor)
	grant := fitting(k.units, avail, unit)
	if grant < k.units {
		// Another gateway may be about to take back what it wrote off twice; until it has, the store
		// looks emptier than it is.
		short := min(2*unit-avail+grant, dryMost*unit)
		c.dryUntil = g.now + max(short/max(c.terms.rate, 1e-3), g.set.Tick)
		if !c.terms.few {
			c.dryUntil = (k.window + 1 - c.phase()) * c.terms.window
		}
	}
	c.units += grant
	if grant > 0 {
		c.expires = g.now + leaseShare*c.terms.allowance/max(c.terms.rate, 1e-3)
	}
	if c.window == k.window {
		c.known = target + grant
	}
	c.met = true
	if more := target + grant - total; c.terms.few && math.Abs(more) > refundLeast*unit {
		// Less, or what an emptied counter lost.
		g.count(call{customer: c, name: k.name, window: k.window, fill: more}, nameKeep)
	}
}

// report tells the counter what own shares have spent, once it is much; less goes with the next lease.
func (g *Gateway) report(c *customer) {
	most := max(c.terms.localBurst, reportPart*c.terms.allowance, reportMin)
	if c.owed < most || c.inCalls > 0 || g.now < c.restTill {
		return
	}
	floor := g.roll(c)
	k := call{customer: c, name: c.name, window: c.window, floor: floor, owed: c.owed, fill: c.unused(floor)}
	c.owed = 0
	g.count(k, nameKeep)
}

// unused is the refill that a call writes off since nobody has used it: as much as this gateway found at its
// last look, for all gateways together call about as often as before.
func (c *customer) unused(floor float64) float64 { return min(c.lag, max(floor-c.known, 0)) }

// settle takes the answer for a store that is kept by reports. Each gateway spends its own share with no call
// and tells of it later. So the total is what all have told, and lags behind what they have spent by about
// half a mean report for each. The store is full where the total lies below the refill by no more than that
// (slack); what lies further below has not been used, and is written off, lest a burst find it all at once.
//
// In any time L a customer gets at most rate*L, the burst that is lent, lagMost+slackMost bursts that were
// not written off yet, what was leased before, and what each gateway has spent and not told: its own share,
// reportPart of a burst or reportMin, whichever is most. Over long times that is the rate.
func (g *Gateway) settle(c *customer, k call, total float64) {
	// Two gateways may write off the same refill. Each takes its own as a guess, and who came second
	// finds too much there and takes it back. What a call takes back is none, nor what goes on from a window.
	taken := total - k.units
	if !k.carried {
		taken -= max(k.fill, 0)
	}
	if k.owed > 0 {
		c.told += reportGain * (k.owed - c.told)
	}
	burst, unit := c.terms.allowance, c.unit()
	lent := max(c.terms.lent, min(unit, burst)) // what a full store can pay for is let in
	slack := min(c.told/2*c.terms.gateways, slackMost*burst)
	level := max(taken, k.floor-slack)
	c.lag = level - taken
	fresh := taken-k.owed < refundLeast && g.now-c.leftAt < levelSpan
	if fresh {
		// A window begins with a full store. One that was empty a moment ago goes on from there, or
		// each window would let in a burst more.
		level = max(level, k.floor+lent-c.left)
	}
	c.left = min(lent-(level-k.floor), burst)
	grant := fitting(k.units, c.left, unit)
	if c.dry = grant < k.units || k.units == 0 && c.left < unit; c.dry {
		most := dryMost
		if !c.modest() { // the more gateways ask for what comes free, the later there is some for this one
			most = max(most, c.terms.gateways/2)
		}
		short := min(2*unit-c.left+grant, most*unit)
		c.dryUntil = g.now + max(short/max(c.terms.rate, 1e-3), g.set.Tick)
	}
	c.left, c.leftAt = c.left-grant, g.now
	c.units += grant
	if grant > 0 {
		c.expires = g.now + 2*leaseSpan
	}
	if k.window != c.window {
		return
	}
	c.known = total
	wrong := level + grant - total // refill that nobody used, or what the call asked for and did not get
	if wrong <= lagMost*burst && wrong >= -refundLeast*unit && !(fresh && wrong > unit) {
		return
	}
	c.lag = 0
	c.known += wrong
	g.count(call{customer: c, name: k.name, window: k.window, floor: k.floor, fill: wrong,
		carried: fresh}, nameKeep)
}
