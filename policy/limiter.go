package policy

import "math"

// Parameters of the concurrency limit. They don't depend on the deployment. A latency ratio is the latency of
// an attempt as a share of its latency objective.
const (
	initialLimitPerBackend = 4.0  // attempts, divided among the gateways; if it is too high, it is soon cut
	minLimitPerBackend     = 3.0  // attempts; even if all backends are slow, their cores need work
	limitCutFactor         = 0.75 // factor on the limit when it is cut
	latencyRatioHigh       = 0.38 // mean latency ratio above which the limit is cut
	latencyRatioLow        = 0.28 // mean latency ratio below which the limit may grow
	limitUtilization       = 0.8  // the limit grows only while at least this share of it is in use
	limitBurst             = 3.0  // attempts; a smaller limit applies to the mean over limitAveragingWindow
	limitAveragingWindow   = 1.0  // seconds
	minLatencyRatioGain    = 0.05 // weight of the newest latency ratio in the mean when attempts end often
	maxLatencyRatioGain    = 0.3  // the same when attempts end rarely
	reserveShare           = 0.15 // share of the limit that is reserved for top levels
	topLevelWeightShare    = 0.5  // levels whose weight is at least this share of the highest are top levels
)

// concurrencyLimiter limits the number of attempts that this gateway has in flight. The limit is 0 until the
// first backend is known.
type concurrencyLimiter struct {
	limit              float64 // attempts; with many gateways it can be below 1
	lastCut            float64 // clock time at which the limit was last cut
	inFlight           int     // attempts, including abandoned ones
	meanInFlight       float64 // attempts; mean over limitAveragingWindow
	meanLatencyRatio   float64 // mean latency ratio, in which a single one counts as 1 at most
	meanLatencyRatioAt float64 // clock time at which meanLatencyRatio was last updated
}

// updateMeanInFlight updates the mean of attempts in flight from the clock time previous to now.
func (l *concurrencyLimiter) updateMeanInFlight(previous, now float64) {
	gain := 1 - math.Exp((previous-now)/limitAveragingWindow)
	l.meanInFlight += gain * (float64(l.inFlight) - l.meanInFlight)
}

// full reports whether the limit allows no further attempt now. Only top levels may use the reserve. With
// many gateways the limit of each can be less than one attempt; such a limit applies to the mean.
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

// adjust records the latency ratio of an attempt and adjusts the limit: it is cut when latency approaches the
// objective, at most once per cutInterval seconds, and grows slowly while it is in use and latency is low.
func (l *concurrencyLimiter) adjust(now, latencyRatio, cutInterval, backendsPerGateway float64) {
	l.recordLatencyRatio(now, latencyRatio)
	switch {
	case l.meanLatencyRatio > latencyRatioHigh && now-l.lastCut > cutInterval:
		l.limit = max(l.limit*limitCutFactor, minLimitPerBackend*backendsPerGateway)
		l.lastCut = now
	case l.meanLatencyRatio < latencyRatioLow && l.inUse():
		l.limit += min(1, backendsPerGateway) / max(l.limit, 1)
	}
}

// recordLatencyRatio updates the mean latency ratio. The less often attempts end, the more each one counts.
func (l *concurrencyLimiter) recordLatencyRatio(now, latencyRatio float64) {
	gain := (now - l.meanLatencyRatioAt) / limitAveragingWindow
	gain = min(max(gain, minLatencyRatioGain), maxLatencyRatioGain)
	l.meanLatencyRatioAt = now
	l.meanLatencyRatio += gain * (min(latencyRatio, 1) - l.meanLatencyRatio)
}

// inUse reports whether enough attempts are in flight that a higher limit would be used.
func (l *concurrencyLimiter) inUse() bool {
	return max(float64(l.inFlight), l.meanInFlight) >= limitUtilization*l.limit
}

// atLimit reports whether the concurrency limit allows no further attempt for requests of a level.
func (e *Engine) atLimit(level int) bool { return e.limiter.full(e.queue.isTopLevel(level)) }

// adjustLimit adjusts the limit by the latency ratio of an attempt. The limit is cut at most once per round
// trip.
func (e *Engine) adjustLimit(latencyRatio float64) {
	cutInterval := max(e.latency.mean, e.settings.Tick)
	e.limiter.adjust(e.now, latencyRatio, cutInterval, e.backendsPerGateway())
}

// backendsPerGateway returns the number of backends divided by the number of gateways, 0 if no backend is
// known.
func (e *Engine) backendsPerGateway() float64 {
	return float64(len(e.backends.ordered)) / float64(max(e.settings.FleetSize, 1))
}
