package policy

import "math"

// The limit on attempts in flight. Each value is a share or a count that holds for any deployment.
const (
	initialLimitPerBackend = 4.0  // attempts, shared among the gateways: high, cut soon if wrong
	minLimitPerBackend     = 3.0  // attempts: when all backends are slow, their cores still need work
	limitCutFactor         = 0.75 // factor on the limit when latency nears the objective
	latencyRatioHigh       = 0.38 // mean latency, as a share of the objective, above which the limit shrinks
	latencyRatioLow        = 0.28 // and below which it may grow
	limitUtilization       = 0.8  // the limit grows only while this share of it is in use
	limitBurst             = 3.0  // attempts; a smaller limit holds for the mean over limitAveragingWindow
	limitAveragingWindow   = 1.0  // seconds
	minLatencyRatioGain    = 0.05 // weight of the newest latency ratio where answers are many
	maxLatencyRatioGain    = 0.3  // and where they are rare
	reserveShare           = 0.15 // part of the limit that only top levels may use
	topLevelWeightShare    = 0.5  // levels whose weight is at least this share of the highest are top levels
)

// concurrencyLimiter limits the attempts that this gateway has in flight. Its limit is 0 until the first
// backend is known.
type concurrencyLimiter struct {
	limit          float64 // attempts; below 1 where gateways are many
	lastCut        float64 // when the limit was last lowered
	inFlight       int     // attempts, also those that were abandoned and may still run
	meanInFlight   float64 // attempts, over limitAveragingWindow
	latencyRatio   float64 // mean of latency over objective, each counted as 1 at most
	latencyRatioAt float64 // when latencyRatio was last updated
}

// updateMeanInFlight brings the mean of attempts in flight from the time previous to now.
func (l *concurrencyLimiter) updateMeanInFlight(previous, now float64) {
	gain := 1 - math.Exp((previous-now)/limitAveragingWindow)
	l.meanInFlight += gain * (float64(l.inFlight) - l.meanInFlight)
}

// full reports whether no attempt may begin now. The reserve is for top levels. Of many gateways, the limit
// of one is less than an attempt; then it holds in the mean.
func (l *concurrencyLimiter) full(topLevel bool) bool {
	capacity := l.limit
	if !topLevel {
		capacity *= 1 - reserveShare
	}
	if float64(l.inFlight) >= max(capacity, limitBurst) {
		return true
	}
	return capacity < limitBurst && l.meanInFlight >= capacity
}

// adjust takes in the latency of an attempt as a share of its objective, and moves the limit: down when
// latency nears the objective, at most once in cutInterval seconds, and slowly up while the limit is in use
// and latency is low.
func (l *concurrencyLimiter) adjust(now, ratio, cutInterval, backendsPerGateway float64) {
	l.recordLatencyRatio(now, ratio)
	switch {
	case l.latencyRatio > latencyRatioHigh && now-l.lastCut > cutInterval:
		l.limit = max(l.limit*limitCutFactor, minLimitPerBackend*backendsPerGateway)
		l.lastCut = now
	case l.latencyRatio < latencyRatioLow && l.inUse():
		l.limit += min(1, backendsPerGateway) / max(l.limit, 1)
	}
}

// recordLatencyRatio updates the mean latency ratio, in which rare answers weigh more.
func (l *concurrencyLimiter) recordLatencyRatio(now, ratio float64) {
	gain := (now - l.latencyRatioAt) / limitAveragingWindow
	gain = min(max(gain, minLatencyRatioGain), maxLatencyRatioGain)
	l.latencyRatioAt = now
	l.latencyRatio += gain * (min(ratio, 1) - l.latencyRatio)
}

// inUse reports whether so much is in flight that a higher limit would be used.
func (l *concurrencyLimiter) inUse() bool {
	return max(float64(l.inFlight), l.meanInFlight) >= limitUtilization*l.limit
}

// atLimit reports whether requests of a level have to wait until an attempt ends.
func (e *Engine) atLimit(level int) bool { return e.limiter.full(e.queue.isTopLevel(level)) }

// adjustLimit moves the limit by the latency of an attempt as a share of its objective. The limit is lowered
// at most once a round trip.
func (e *Engine) adjustLimit(ratio float64) {
	roundTrip := max(e.latency.mean, e.settings.Tick)
	e.limiter.adjust(e.now, ratio, roundTrip, e.backendsPerGateway())
}

// backendsPerGateway returns how many backends there are for each gateway, 0 where none is known.
func (e *Engine) backendsPerGateway() float64 {
	return float64(len(e.backends.ordered)) / float64(max(e.settings.FleetSize, 1))
}
