package policy

// Slow start of backends that have just started.
const (
	warmRateAveragingTime = 2.0 // seconds over which sends to warm backends are averaged
	minSlowStartRate      = 0.5 // sends a second, of all gateways, that a backend in slow start always gets
	maxSlowStartTokens    = 1.5 // sends that a backend in slow start can have saved up at most
)

// warmTraffic is what this gateway sends to warm backends, which are those past their slow start.
type warmTraffic struct {
	sendRate  float64 // attempts a second to each, over warmRateAveragingTime
	sendCount int     // attempts since the last maintenance
}

// update gives the attempts since the last update, elapsed seconds ago, the weight gain in the rate. With no
// warm backend the rate stays.
func (w *warmTraffic) update(warmBackends int, elapsed, gain float64) {
	if warmBackends > 0 {
		sendRate := float64(w.sendCount) / elapsed / float64(warmBackends)
		w.sendRate += gain * (sendRate - w.sendRate)
	}
	w.sendCount = 0
}

// warmBackends counts the ready backends that are past their slow start.
func (e *Engine) warmBackends() int {
	warm := 0
	for _, b := range e.backends.ordered {
		if b.State == Ready && e.slowStartShare(b) >= 1 {
			warm++
		}
	}
	return warm
}

// slowStartShare returns the least share of its capacity that a backend can be trusted with: from
// SlowStartMinShare at its start to 1 at the end of SlowStartWindow.
func (e *Engine) slowStartShare(b *backend) float64 {
	window := e.settings.SlowStartWindow
	if b.StartedAt == 0 || window <= 0 || e.now-b.StartedAt >= window {
		return 1
	}
	age := max(e.now-b.StartedAt, 0) / window
	return e.settings.SlowStartMinShare + (1-e.settings.SlowStartMinShare)*age
}

// slowStartAllows reports whether a backend may get an attempt, and brings its tokens up to date. It keeps a
// backend in slow start from being overloaded with no agreement among gateways: each sends it at most its
// slow start share of what it sends a warm one, in any short window, so the sum stays within what warm ones
// bear.
func (e *Engine) slowStartAllows(b *backend) bool {
	share := e.slowStartShare(b)
	if share >= 1 {
		return true
	}
	minRate := minSlowStartRate / float64(max(e.settings.FleetSize, 1))
	b.refillSlowStartTokens(e.now, max(share*e.warmTraffic.sendRate, minRate))
	return b.slowStartTokens >= 1
}

// chargeSlowStart takes the token of an attempt at a backend in slow start; one at a warm backend counts in
// the rate by which tokens are refilled.
func (e *Engine) chargeSlowStart(b *backend) {
	if e.slowStartShare(b) < 1 {
		b.slowStartTokens--
	} else {
		e.warmTraffic.sendCount++
	}
}

// refillSlowStartTokens adds the tokens since the last refill at a rate a second.
func (b *backend) refillSlowStartTokens(now, rate float64) {
	b.slowStartTokens = min(b.slowStartTokens+rate*(now-b.slowStartTokensAt), maxSlowStartTokens)
	b.slowStartTokensAt = now
}
