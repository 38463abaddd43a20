package policy

// The cost of a backend, by which one is chosen. Each value is a share or a factor that holds for any
// deployment.
const (
	lowerLevelLoad       = 0.1  // what an attempt of any level counts beside those of equal or higher level
	maxLatencyFactor     = 8.0  // a backend counts as this many times slower or faster than the mean at most
	maxFailureRateInCost = 0.9  // failure rate above which the cost grows no further
	sameBackendCost      = 1e3  // added for the backend of the last attempt: above any other cost
	costJitter           = 0.05 // random part of a cost, lest gateways choose alike
)

// candidates sums up the backends that may get the next attempt of a request.
type candidates struct {
	count           int      // backends
	ejected         int      // of these
	cheapest        *backend // of all; nil: there is none
	cheapestCost    float64
	cheapestHealthy *backend // of those that are not ejected; nil: there is none
	healthyCost     float64
	dueForTrial     *backend // the first ejected one that may get the request as a trial; nil: none
	trialsAllowed   bool     // the request may serve as a trial
}

// pick chooses the backend of an attempt: the one with the fewest own attempts of equal or higher level,
// measured against the work it is believed to bear. It returns nil if none may be used now.
func (e *Engine) pick(req *request) *backend {
	found := e.findCandidates(req)
	if found.dueForTrial != nil {
		// Trials are all that can bring an ejected backend back, so they come first, shared fault or not:
		// else most stay ejected for good once they are, and the few others bear all.
		found.dueForTrial.startTrial(e.now)
		return found.dueForTrial
	}
	if 2*found.ejected > found.count {
		// When most look faulty the fault is shared: leaving them out would only heap the work on the rest.
		return found.cheapest
	}
	return found.cheapestHealthy
}

// findCandidates looks at all backends in the order of their ids. A first attempt may be a trial.
func (e *Engine) findCandidates(req *request) candidates {
	found := candidates{trialsAllowed: len(req.attempts) == 0}
	for _, b := range e.backends.ordered {
		if e.isCandidate(req, b) {
			found.add(b, e.cost(req, b), b.trialDue(e.now, req.class))
		}
	}
	return found
}

// add takes in a backend that may get the attempt.
func (c *candidates) add(b *backend, cost float64, trialDue bool) {
	c.count++
	if c.cheapest == nil || cost < c.cheapestCost {
		c.cheapest = b
		c.cheapestCost = cost
	}
	if b.ejected() {
		c.ejected++
		if c.dueForTrial == nil && trialDue && c.trialsAllowed {
			c.dueForTrial = b
		}
		return
	}
	if c.cheapestHealthy == nil || cost < c.healthyCost {
		c.cheapestHealthy = b
		c.healthyCost = cost
	}
}

// isCandidate reports whether the backend may get an attempt of the request now. It brings the backend's slow
// start up to date.
func (e *Engine) isCandidate(req *request, b *backend) bool {
	return b.State == Ready &&
		req.sharesDedupeScope(b) &&
		e.slowStartAllows(b) &&
		!req.inFlightAt(b)
}

// cost returns what an attempt of the request at the backend costs, which is meaningful beside the costs of
// other backends alone.
func (e *Engine) cost(req *request, b *backend) float64 {
	successRate := 1 - min(b.failureRate, maxFailureRateInCost)
	// A gateway among many has nothing in flight at most backends, so one in slow start would look worst
	// for as long as it is. Its tokens keep its share small; what it may get, it gets at once.
	cost := b.load(req.level) * e.relativeLatency(b) * e.slowStartShare(b) / (successRate * successRate)
	if b.Zone != e.settings.Zone {
		cost *= 1 + e.settings.CrossZonePrice
	}
	if req.lastAttemptedAt(b) {
		cost += sameBackendCost // not where it just failed, if there is another
	}
	return cost * (1 + costJitter*e.rng.Float64())
}

// load returns the own attempts in flight at the backend, one more for what it would get, as an attempt of a
// level sees them: those of lower levels count little.
func (b *backend) load(level int) float64 {
	equalOrHigher := 0
	for _, n := range b.inFlightByLevel[level:] {
		equalOrHigher += n
	}
	return 1 + float64(equalOrHigher) + lowerLevelLoad*float64(b.inFlight)
}

// relativeLatency returns how many times slower than the mean the backend answers, 1 where that is unknown.
func (e *Engine) relativeLatency(b *backend) float64 {
	if b.latency > 0 && e.latency.mean > 0 {
		return min(max(b.latency/e.latency.mean, 1/maxLatencyFactor), maxLatencyFactor)
	}
	return 1
}
