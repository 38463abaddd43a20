package main

// simCounterTotal is the total that the counter stores for a name, until the total expires.
type simCounterTotal struct {
	total   float64
	expires float64 // clock time at which the total expires
}

// simCounterCaller identifies the counter calls of one instance for one name. The replies to these calls
// arrive in the order of the calls.
type simCounterCaller struct {
	instance int
	name     uint64
}

// counterOutcome is the outcome of a counter call. The field added is true if the counter added the amount.
type counterOutcome struct {
	status  uint8
	latency float64
	added   bool
}

// changeCounter draws a new condition for the counter. In some cases the counter loses all totals.
func (s *simulation) changeCounter() {
	s.counterCondition = oneOf(s.randomSource, healthy, healthy, healthy, overloaded, slow, silent, unreachable, malformed)
	if s.chance(0.1) {
		clear(s.counterTotals)
	}
}

// callCounter executes a counter call of an instance and schedules the reply.
func (s *simulation) callCounter(inst *simInstance, name uint64, amount, ttl float64) {
	if !s.settings.QuotaCounter.HasCounter {
		s.t.Errorf("seed %d batch %d: a counter call, though the deployment has no counter", s.seed, s.batchSeq)
	}
	outcome := s.drawCounterOutcome()
	total := s.addToCounter(name, amount, ttl, outcome.added)
	caller := simCounterCaller{inst.number, name}
	repliedAt := max(s.now+outcome.latency, s.lastCounterReplyAt[caller])
	s.lastCounterReplyAt[caller] = repliedAt
	s.notify(inst, repliedAt-s.now, func(w *recordWriter) {
		w.counterReply(name, outcome.status, total, outcome.latency)
	})
}

// drawCounterOutcome draws the outcome of a call in the counter's current condition.
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

// addToCounter returns the total of a name. If the parameter added is true, it adds the amount first. At the end, it
// may add a further amount for gateways of the fleet that are not simulated. The result does not include this amount.
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

// counterReply writes the record of the counter's reply to a call.
func (w *recordWriter) counterReply(name uint64, status uint8, total, latency float64) {
	w.begin(eventCounterReply)
	w.u64(name)
	w.u8(status)
	w.f32(total)
	w.f64(latency)
}
