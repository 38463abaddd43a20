package policy

import "math"

// Parameters of the concurrency limit. A latency ratio is the latency of an attempt divided by the latency
// objective of its class. The limits per backend are sums over all gateways.
const (
	initialLimitPerBackend = 4.0  // attempts per backend in the first limit; soon cut if too high
	minLimitPerBackend     = 3.0  // attempts per backend in the lowest limit; keeps cores of slow backends busy
	limitCutFactor         = 0.75 // factor by which a cut multiplies the limit
	latencyRatioHigh       = 0.38 // mean latency ratio above which the limit is cut
	latencyRatioLow        = 0.28 // mean latency ratio below which the limit may grow
	limitUtilization       = 0.8  // share of the limit that must be in use before the limit grows
	limitBurst             = 3.0  // attempts that may be in flight at once if the limit is lower (see full)
	limitAveragingWindow   = 1.0  // seconds over which meanInFlight and meanLatencyRatio are averaged
	minLatencyRatioGain    = 0.05 // weight of the newest latency ratio in the mean if attempts end often
	maxLatencyRatioGain    = 0.3  // weight of the newest latency ratio in the mean if attempts end rarely
	reserveShare           = 0.15 // share of the limit that is reserved for the top levels
	presumedLateLimitShare = 0.5  // share of the limit that requests may use which are presumed late
	topLevelWeightShare    = 0.5  // lowest weight of a top level, as a share of the highest weight
)

// concurrencyLimiter limits the number of attempts that this gateway has in flight. The limit is 0 until the
// first backend is known.
type concurrencyLimiter struct {
	limit              float64 // attempts; can be below 1 with many gateways
	lastCut            float64 // clock time at which the limit was last cut
	inFlight           int     // attempts, including abandoned attempts
	meanInFlight       float64 // attempts; mean of inFlight over limitAveragingWindow
	meanLatencyRatio   float64 // mean latency ratio; a ratio above 1 counts as 1
	meanLatencyRatioAt float64 // clock time at which meanLatencyRatio was last updated
}

// updateMeanInFlight updates meanInFlight for the time since the last update. The parameter previous is the
// clock time of the last update; inFlight has not changed since then.
func (l *concurrencyLimiter) updateMeanInFlight(previous, now float64) {
	gain := 1 - math.Exp((previous-now)/limitAveragingWindow)
	l.meanInFlight += gain * (float64(l.inFlight) - l.meanInFlight)
}

// full reports whether a share of the limit allows no further attempt now. With many gateways, the limit of
// each can be less than one attempt. A limit below limitBurst therefore applies to meanInFlight, and up to
// limitBurst attempts may be in flight.
func (l *concurrencyLimiter) full(share float64) bool {
	capacity := l.limit * share
	if float64(l.inFlight) >= max(capacity, limitBurst) {
		return true
	}
	return capacity < limitBurst && l.meanInFlight >= capacity
}

// adjust records the latency ratio of an attempt and adjusts the limit. When the mean latency ratio exceeds
// latencyRatioHigh, latency approaches the objective, and the limit is cut, at most once in cutInterval
// seconds. The limit is not cut below minLimitPerBackend times backendsPerGateway. While the mean is below
// latencyRatioLow and the limit is in use, the limit grows slowly.
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

// recordLatencyRatio updates the mean latency ratio. The weight of the new ratio grows with the time since
// the last update.
func (l *concurrencyLimiter) recordLatencyRatio(now, latencyRatio float64) {
	gain := (now - l.meanLatencyRatioAt) / limitAveragingWindow
	gain = min(max(gain, minLatencyRatioGain), maxLatencyRatioGain)
	l.meanLatencyRatioAt = now
	l.meanLatencyRatio += gain * (min(latencyRatio, 1) - l.meanLatencyRatio)
}

// inUse reports whether the share of the limit that is in use is at least limitUtilization.
func (l *concurrencyLimiter) inUse() bool {
	return max(float64(l.inFlight), l.meanInFlight) >= limitUtilization*l.limit
}

// atLimit reports whether the concurrency limit allows no further attempt for requests of a level.
func (e *Engine) atLimit(level int) bool { return e.limiter.full(e.queue.limitShare(level)) }

// adjustLimit adjusts the concurrency limit by the latency ratio of an attempt. The shortest time between two
// cuts is the mean latency of an attempt, but at least one tick.
func (e *Engine) adjustLimit(latencyRatio float64) {
	cutInterval := max(e.latency.mean, e.settings.Tick)
	e.limiter.adjust(e.now, latencyRatio, cutInterval, e.backendsPerGateway())
}

// backendsPerGateway returns the number of backends divided by the number of gateways, 0 if no backend is
// known.
func (e *Engine) backendsPerGateway() float64 {
	return float64(len(e.backends.ordered)) / float64(max(e.settings.FleetSize, 1))
}
