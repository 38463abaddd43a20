package policy

import "slices"

// maxLatencyFactor is how many times slower than the mean a backend counts at most.
const maxLatencyFactor = 8.0

// Placement: which backend an attempt goes to.

// pick chooses the backend with the fewest own attempts of equal or higher level, measured against the
// work it is believed to bear. It returns nil if none may be used now.
func (e *Engine) pick(req *request) *backend {
	var best, well, trial *backend
	usable, sick := 0, 0
	for _, b := range e.backends.ordered {
		busy := func(a attempt) bool { return a.backend == b && !a.ended }
		if b.State != Ready || !req.sharesDedupeScope(b) || !e.slowStartAllows(b) ||
			slices.ContainsFunc(req.attempts, busy) {
			continue
		}
		b.cost = e.cost(b, req)
		if usable++; best == nil || b.cost < best.cost {
			best = b
		}
		if !b.ejected() {
			if well == nil || b.cost < well.cost {
				well = b
			}
			continue
		}
		sick++
		if trial == nil && b.trialDue(e.now, req.class) && len(req.attempts) == 0 {
			trial = b
		}
	}
	switch {
	case trial != nil:
		// Trials are all that can put right what is left out, so they come first, shared trouble or
		// not: else most stay left out for good once they are, and the few others bear all.
		trial.startTrial(e.now)
		return trial
	case 2*sick > usable:
		// When most look bad the trouble is shared: leaving them out would only heap the work on the rest.
		return best
	}
	return well
}

func (e *Engine) cost(b *backend, req *request) float64 {
	higher := 0
	for _, n := range b.inFlightByLevel[req.level:] {
		higher += n
	}
	slow := 1.0
	if b.latency > 0 && e.latency.mean > 0 {
		slow = min(max(b.latency/e.latency.mean, 1/maxLatencyFactor), maxLatencyFactor)
	}
	well := 1 - min(b.failureRate, 0.9)
	// A gateway among many has nothing in flight at most backends, so one that is cold would look
	// worst for as long as it is. Its budget keeps its share small; what it may get, it gets at once.
	cost := (1 + float64(higher) + 0.1*float64(b.inFlight)) * slow * e.slowStartShare(b) / (well * well)
	if b.Zone != e.settings.Zone {
		cost *= 1 + e.settings.CrossZonePrice
	}
	if n := len(req.attempts); n > 0 && req.attempts[n-1].backend == b {
		cost += 1e3 // not where it just failed, if there is another
	}
	return cost * (1 + 0.05*e.rng.Float64())
}
