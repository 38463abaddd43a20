package policy

// Parameters of the cost by which backends are compared.
const (
	lowerLevelLoad       = 0.1  // load of an attempt in flight at a lower level than the new attempt
	maxLatencyFactor     = 8.0  // largest factor by which a backend counts as slower or faster than average
	maxFailureRateInCost = 0.9  // failure rate above which the cost no longer grows
	sameBackendCost      = 1e3  // cost added for the backend of the previous attempt; exceeds any other cost
	costJitter           = 0.05 // largest random share added to a cost, so that gateways pick different backends
)

// candidates summarizes the backends that may get the next attempt of a request.
type candidates struct {
	count           int      // number of candidates
	ejected         int      // number of candidates that are ejected
	cheapest        *backend // lowest-cost candidate; nil: none
	cheapestCost    float64
	cheapestHealthy *backend // lowest-cost candidate that is not ejected; nil: none
	healthyCost     float64
	dueForTrial     *backend // first ejected candidate that may get the request as a trial; nil: none
	trialsAllowed   bool     // whether the request may be used as a trial
}

// pick returns the backend for the next attempt of a request, or nil if no backend may be used now. A backend
// that is due for a trial comes first. Otherwise pick returns the backend with the lowest cost (see cost),
// and leaves out ejected backends unless most candidates are ejected.
func (e *Engine) pick(req *request) *backend {
	found := e.findCandidates(req)
	if found.dueForTrial != nil {
		// Trials come first, even if most backends are ejected. Without trials, the ejected backends would stay
		// ejected, and the few others would get all the load.
		found.dueForTrial.startTrial(e.now)
		return found.dueForTrial
	}
	if 2*found.ejected > found.count {
		// If most candidates are ejected, their failures probably have a common cause, and avoiding the
		// ejected backends would only overload the others.
		return found.cheapest
	}
	return found.cheapestHealthy
}

// findCandidates examines all backends in the order of their IDs. Only a first attempt may be a trial.
func (e *Engine) findCandidates(req *request) candidates {
	found := candidates{trialsAllowed: len(req.attempts) == 0}
	for _, b := range e.backends.ordered {
		if e.isCandidate(req, b) {
			found.add(b, e.cost(req, b), b.trialDue(e.now, req.class))
		}
	}
	return found
}

// add adds a backend to the candidates. The parameter cost is the cost of an attempt at the backend. The
// parameter trialDue matters only if the backend is ejected: it says whether a trial is due.
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

// isCandidate reports whether the backend may get an attempt of the request now. It updates the backend's
// slow start tokens.
func (e *Engine) isCandidate(req *request, b *backend) bool {
	return b.State == Ready &&
		req.mayExecuteAt(b) &&
		e.slowStartAllows(b) &&
		!req.inFlightAt(b)
}

// cost returns the cost of sending an attempt of the request to the backend. The cost depends on the
// backend's load, latency, failure rate, slow start and zone. The backend of the previous attempt costs
// sameBackendCost more. The cost has a random part, and is meaningful only in comparison with the costs of
// other backends.
func (e *Engine) cost(req *request, b *backend) float64 {
	successRate := 1 - min(b.failureRate, maxFailureRateInCost)
	// The factor slowStartShare makes a backend in slow start cheaper, so that its tokens are used as soon as
	// they are earned. With many gateways, each gateway has no attempts in flight at most backends. Without
	// the factor, a backend in slow start would then look like the worst choice until its slow start is over.
	cost := b.load(req.level) * e.relativeLatency(b) * e.slowStartShare(b) / (successRate * successRate)
	if b.Zone != e.settings.Zone {
		cost *= 1 + e.settings.CrossZonePrice
	}
	if req.lastAttemptedAt(b) {
		cost += sameBackendCost // avoid the backend of the previous attempt if there is another
	}
	return cost * (1 + costJitter*e.rng.Float64())
}

// load returns the load of the backend for a new attempt of a level. The new attempt counts 1. Each of this
// gateway's attempts in flight at the backend counts lowerLevelLoad, and 1 more if its level is equal or
// higher.
func (b *backend) load(level int) float64 {
	equalOrHigher := 0
	for _, n := range b.inFlightByLevel[level:] {
		equalOrHigher += n
	}
	return 1 + float64(equalOrHigher) + lowerLevelLoad*float64(b.inFlight)
}

// relativeLatency returns the backend's latency divided by the mean latency of all backends. The ratio is
// limited to the range from 1/maxLatencyFactor to maxLatencyFactor. If one of the two latencies is unknown,
// the result is 1.
func (e *Engine) relativeLatency(b *backend) float64 {
	if b.latency > 0 && e.latency.mean > 0 {
		return min(max(b.latency/e.latency.mean, 1/maxLatencyFactor), maxLatencyFactor)
	}
	return 1
}
