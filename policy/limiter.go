package policy

// The bound on work in flight. Each value is a share or a count that holds for any deployment.
const (
	limitStart           = 4.0  // attempts a backend, shared among the gateways: high, cut soon if wrong
	limitFloor           = 3.0  // least attempts a backend: when all are slow, cores still need work
	limitCutFactor       = 0.75 // factor on the bound when latency nears the aim
	latencyRatioHigh     = 0.38 // mean latency, as a share of the aim, above which the bound shrinks
	latencyRatioLow      = 0.28 // and below which it may grow
	limitUtilization     = 0.8  // it grows only while this share of it is in use
	limitBurst           = 3.0  // a smaller limit holds for the mean over limitAveragingWindow
	limitAveragingWindow = 1.0  // seconds
	reserveShare         = 0.15 // part of the bound that only top levels may use
	topLevelShare        = 0.5  // levels worth at least this share of the highest are top
)

// concurrencyLimiter bounds the attempts that this gateway has in flight.
type concurrencyLimiter struct {
	limit          float64
	lastCut        float64 // when the limit was last lowered
	inFlight       int
	meanInFlight   float64 // over limitAveragingWindow
	latencyRatio   float64 // mean of latency over objective
	latencyRatioAt float64 // when latencyRatio was last updated
}

// atLimit tells whether a level has to wait: it may fill its part of the bound. Of many gateways, the bound
// of one is less than an attempt; then it is kept in the mean.
func (e *Engine) atLimit(level int) bool {
	room := e.limiter.limit
	if e.queue.weights[level] < topLevelShare*e.queue.weights[len(e.queue.weights)-1] {
		room *= 1 - reserveShare
	}
	return float64(e.limiter.inFlight) >= max(room, limitBurst) ||
		room < limitBurst && e.limiter.meanInFlight >= room
}

// adjustLimit moves the bound: down when latency nears the aim, at most once a round trip, and slowly up
// while it is in use and latency is low.
func (e *Engine) adjustLimit(ratio float64) {
	gain := min(max((e.now-e.limiter.latencyRatioAt)/limitAveragingWindow, 0.05), 0.3) // rare answers weigh more
	e.limiter.latencyRatioAt = e.now
	e.limiter.latencyRatio += gain * (min(ratio, 1) - e.limiter.latencyRatio)
	switch {
	case e.limiter.latencyRatio > latencyRatioHigh &&
		e.now-e.limiter.lastCut > max(e.latency.mean, e.settings.Tick):
		e.limiter.limit = max(e.limiter.limit*limitCutFactor, e.minLimit())
		e.limiter.lastCut = e.now
	case e.limiter.latencyRatio < latencyRatioLow &&
		max(float64(e.limiter.inFlight), e.limiter.meanInFlight) >= limitUtilization*e.limiter.limit:
		e.limiter.limit += min(1, e.backendsPerGateway()) / max(e.limiter.limit, 1)
	}
}

func (e *Engine) minLimit() float64 { return limitFloor * e.backendsPerGateway() }

// backendsPerGateway is how many backends there are for each gateway.
func (e *Engine) backendsPerGateway() float64 {
	return float64(len(e.backends.ordered)) / float64(max(e.settings.FleetSize, 1))
}
