package policy

// Parameters of slow start, which limits the attempts at backends that have just started by a token bucket
// for each backend. A backend is warm once its slow start is over.
const (
	warmRateAveragingTime = 2.0 // seconds over which the rate of attempts at warm backends is averaged
	minSlowStartRate      = 0.5 // attempts per second, of all gateways, always allowed in slow start
	maxSlowStartTokens    = 1.5 // capacity of a backend's token bucket, in attempts
)

// warmTraffic measures the attempts that this gateway sends to warm backends.
type warmTraffic struct {
	sendRate  float64 // attempts per second and backend; mean over warmRateAveragingTime
	sendCount int     // attempts since the last maintenance
}

// update adds the attempts of the last elapsed seconds to the mean rate, with the weight gain, and resets
// their count. Without warm backends the rate stays as it is.
func (w *warmTraffic) update(warmBackends int, elapsed, gain float64) {
	if warmBackends > 0 {
		sendRate := float64(w.sendCount) / elapsed / float64(warmBackends)
		w.sendRate += gain * (sendRate - w.sendRate)
	}
	w.sendCount = 0
}

// warmBackends returns the number of ready backends that are warm.
func (e *Engine) warmBackends() int {
	warm := 0
	for _, b := range e.backends.ordered {
		if b.State == Ready && e.slowStartShare(b) >= 1 {
			warm++
		}
	}
	return warm
}

// slowStartShare returns the share of its full capacity that a backend has at least: it grows linearly from
// SlowStartMinShare at the backend's start to 1 at the end of SlowStartWindow.
func (e *Engine) slowStartShare(b *backend) float64 {
	window := e.settings.SlowStartWindow
	if b.StartedAt == 0 || window <= 0 || e.now-b.StartedAt >= window {
		return 1
	}
	elapsedShare := max(e.now-b.StartedAt, 0) / window
	return e.settings.SlowStartMinShare + (1-e.settings.SlowStartMinShare)*elapsedShare
}

// slowStartAllows updates the tokens of a backend in slow start, and reports whether the backend may get an
// attempt. It protects the backend from overload without coordination among gateways: in any short window,
// each gateway sends it at most its slow start share of what the gateway sends to a warm backend. So the sum
// over all gateways is at most that share of what a warm backend gets.
func (e *Engine) slowStartAllows(b *backend) bool {
	share := e.slowStartShare(b)
	if share >= 1 {
		return true
	}
	minRate := minSlowStartRate / float64(max(e.settings.FleetSize, 1))
	b.refillSlowStartTokens(e.now, max(share*e.warmTraffic.sendRate, minRate))
	return b.slowStartTokens >= 1
}

// chargeSlowStart takes a token for an attempt at a backend in slow start. An attempt at a warm backend is
// counted instead, for the rate at which tokens are refilled.
func (e *Engine) chargeSlowStart(b *backend) {
	if e.slowStartShare(b) < 1 {
		b.slowStartTokens--
	} else {
		e.warmTraffic.sendCount++
	}
}

// refillSlowStartTokens adds the tokens since the last refill, at a rate in tokens per second.
func (b *backend) refillSlowStartTokens(now, rate float64) {
	b.slowStartTokens = min(b.slowStartTokens+rate*(now-b.slowStartTokensAt), maxSlowStartTokens)
	b.slowStartTokensAt = now
}
