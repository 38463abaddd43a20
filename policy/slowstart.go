package policy

// Parameters of slow start. A backend that has just started is in slow start: a token bucket limits its
// attempts. Once its slow start is over, the backend is warm.
const (
	rateAveragingTime  = 2.0 // seconds over which send rates and arrival rates are averaged
	minSlowStartRate   = 0.5 // lowest refill rate of all gateways together, in attempts per second at a backend
	maxSlowStartTokens = 1.5 // capacity of a backend's token bucket in attempts
)

// warmTraffic measures the attempts that this gateway sends to warm backends.
type warmTraffic struct {
	sendRate  float64 // attempts per second at each warm backend; mean over rateAveragingTime
	sendCount int     // attempts at warm backends since the last maintenance
}

// update updates the mean send rate from the attempts since the last update, and resets their count. elapsed
// is the time since the last update in seconds; gain is the weight of the new rate in the mean. Without warm
// backends the mean does not change.
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

// slowStartShare returns the share of its full capacity that a backend is assumed to have now. The share
// grows linearly from SlowStartMinShare at slowStartFrom to 1 at the end of SlowStartWindow. It is 1 for a
// warm backend.
func (e *Engine) slowStartShare(b *backend) float64 {
	window := e.settings.SlowStartWindow
	if b.StartedAt == 0 || window <= 0 || e.now-b.slowStartFrom >= window {
		return 1
	}
	elapsedShare := max(e.now-b.slowStartFrom, 0) / window
	return e.settings.SlowStartMinShare + (1-e.settings.SlowStartMinShare)*elapsedShare
}

// slowStartAllows updates the tokens of a backend in slow start, and reports whether the backend may get an
// attempt. It protects the backend from overload without coordination among gateways. Tokens are refilled at
// slowStartShare times the rate at which this gateway sends to a warm backend. All gateways together thus
// send the backend about slowStartShare times the attempts that a warm backend gets. The refill rate is at
// least this gateway's part of minSlowStartRate.
func (e *Engine) slowStartAllows(b *backend) bool {
	share := e.slowStartShare(b)
	if share >= 1 {
		return true
	}
	minRate := minSlowStartRate / float64(max(e.settings.FleetSize, 1))
	b.refillSlowStartTokens(e.now, max(share*e.warmTraffic.sendRate, minRate))
	return b.slowStartTokens >= 1
}

// chargeSlowStart takes a token for an attempt at a backend in slow start. It counts an attempt at a warm
// backend for the mean send rate, which determines the refill rate of tokens.
func (e *Engine) chargeSlowStart(b *backend) {
	if e.slowStartShare(b) < 1 {
		b.slowStartTokens--
	} else {
		e.warmTraffic.sendCount++
	}
}

// refillSlowStartTokens adds the tokens earned since the last refill, up to maxSlowStartTokens. rate is in
// tokens per second.
func (b *backend) refillSlowStartTokens(now, rate float64) {
	b.slowStartTokens = min(b.slowStartTokens+rate*(now-b.slowStartTokensAt), maxSlowStartTokens)
	b.slowStartTokensAt = now
}
