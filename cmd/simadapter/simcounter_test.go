package main

type simCounterTotal struct{ total, expires float64 }

type simCounterName struct {
	instance int
	name     uint64
}

// changeCounter draws how the counter does for the next seconds, or has it lose all numbers.
func (s *simulation) changeCounter() {
	s.counterCondition = oneOf(s.draws, healthy, healthy, healthy, "crowded", "slow", "silent", "unreachable", "spoilt")
	if s.chance(0.1) {
		clear(s.counterTotals)
	}
}

// callCounter answers a call to the counter. Replies to one instance for one name keep the order of the calls.
func (s *simulation) callCounter(g *simInstance, name uint64, amount, keep float64) {
	if !s.settings.QuotaCounter.HasCounter {
		s.t.Errorf("seed %d batch %d: a call to a counter that is not there", s.seed, s.batchSeq)
	}
	status, took, added := uint8(statusServed), s.between(0.001, 0.02), true
	switch luck := s.Float64(); {
	case s.counterCondition == "crowded" && luck < 0.5 || luck < 0.01:
		status, added = statusRejected, false
	case s.counterCondition == "unreachable" && luck < 0.8 || luck < 0.02:
		status, added = statusConnectFailed, false
	case s.counterCondition == "silent" && luck < 0.8 || luck < 0.03:
		status, took, added = statusTimeout, s.settings.QuotaCounter.CounterTimeoutS, s.chance(0.5)
	case s.counterCondition == "slow":
		took = s.settings.QuotaCounter.CounterTimeoutS * s.between(0.5, 1)
	case s.counterCondition == "spoilt" && luck < 0.6:
		status = oneOf[uint8](s.draws, statusFailed, statusReset)
	}
	total := s.addToCounter(name, amount, keep, added)
	call, at := simCounterName{g.number, name}, s.now+took
	at = max(at, s.lastCounterReplyAt[call])
	s.lastCounterReplyAt[call] = at
	s.notify(g, at-s.now, func(f *recordWriter) {
		f.begin(eventCounterReply)
		f.u64(name)
		f.u8(status)
		f.f32(total)
		f.f64(took)
	})
}

// addToCounter changes a number of the counter. Gateways outside the stream use what the customer has, too.
func (s *simulation) addToCounter(name uint64, amount, keep float64, added bool) float64 {
	c := s.counterTotals[name]
	if s.now >= c.expires {
		c = simCounterTotal{expires: s.now + keep}
	}
	if added {
		c.total += amount
	}
	s.counterTotals[name] = c
	total := c.total
	if amount > 0 && s.chance(0.3) {
		c.total += amount * s.Float64() * float64(min(s.settings.FleetSize-1, 4))
		s.counterTotals[name] = c
	}
	return total
}
