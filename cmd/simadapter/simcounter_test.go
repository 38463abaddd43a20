package main

// simCounterTotal is a number of the counter, which is forgotten after a while.
type simCounterTotal struct {
	total   float64
	expires float64 // clock time
}

// simCounterCaller is an instance with a name that it calls the counter for. Replies to one caller keep the
// calls' order.
type simCounterCaller struct {
	instance int
	name     uint64
}

// counterOutcome is how a call to the counter ends.
type counterOutcome struct {
	status  uint8
	latency float64
	added   bool
}

// changeCounter draws how the counter does for the next seconds, and in some cases has it lose all numbers.
func (s *simulation) changeCounter() {
	s.counterCondition = oneOf(s.randomSource, healthy, healthy, healthy, overloaded, slow, silent, unreachable, malformed)
	if s.chance(0.1) {
		clear(s.counterTotals)
	}
}

// callCounter executes an instance's call to the counter and schedules its reply.
func (s *simulation) callCounter(inst *simInstance, name uint64, amount, ttl float64) {
	if !s.settings.QuotaCounter.HasCounter {
		s.t.Errorf("seed %d batch %d: a call to a counter that does not exist", s.seed, s.batchSeq)
	}
	outcome := s.drawCounterOutcome()
	total := s.addToCounter(name, amount, ttl, outcome.added)
	caller := simCounterCaller{inst.number, name}
	repliedAt := max(s.now+outcome.latency, s.lastCounterReplyAt[caller])
	s.lastCounterReplyAt[caller] = repliedAt
	s.notify(inst, repliedAt-s.now, func(w *recordWriter) { w.counterReply(name, outcome.status, total, outcome.latency) })
}

// drawCounterOutcome draws how a call ends under the counter's present condition.
func (s *simulation) drawCounterOutcome() counterOutcome {
	timeout := s.settings.QuotaCounter.CounterTimeoutS
	outcome := counterOutcome{status: statusServed, latency: s.between(0.001, 0.02), added: true}
	roll := s.Float64()
	switch {
	case s.counterCondition == overloaded && roll < 0.5 || roll < 0.01:
		outcome.status = statusRejected
		outcome.added = false
	case s.counterCondition == unreachable && roll < 0.8 || roll < 0.02:
		outcome.status = statusConnectFailed
		outcome.added = false
	case s.counterCondition == silent && roll < 0.8 || roll < 0.03:
		outcome.status = statusTimeout
		outcome.latency = timeout
		outcome.added = s.chance(0.5)
	case s.counterCondition == slow:
		outcome.latency = timeout * s.between(0.5, 1)
	case s.counterCondition == malformed && roll < 0.6:
		outcome.status = oneOf[uint8](s.randomSource, statusFailed, statusReset)
	}
	return outcome
}

// addToCounter adds an amount to a number of the counter, unless the call failed, and returns the total.
// Gateways outside of the stream may add to the customer's number, too.
func (s *simulation) addToCounter(name uint64, amount, ttl float64, added bool) float64 {
	c := s.counterTotals[name]
	if s.now >= c.expires {
		c = simCounterTotal{expires: s.now + ttl}
	}
	if added {
		c.total += amount
	}
	total := c.total
	if amount > 0 && s.chance(0.3) {
		c.total += amount * s.Float64() * float64(min(s.settings.FleetSize-1, 4))
	}
	s.counterTotals[name] = c
	return total
}

// counterReply writes the reply to a call to the counter.
func (w *recordWriter) counterReply(name uint64, status uint8, total, latency float64) {
	w.begin(eventCounterReply)
	w.u64(name)
	w.u8(status)
	w.f32(total)
	w.f64(latency)
}
