package policy

// Slow start: a backend that has just started gets a part of what a warm one does.

// Budgets of cold backends.
const (
	warmRateAveragingTime = 2.0 // seconds over which sends to warm backends are averaged
	minSlowStartRate      = 0.5 // sends a second, of the whole fleet, that a cold backend always gets
	maxSlowStartTokens    = 1.5 // sends a cold backend's budget holds at most
)

// slowStartShare is the least share of its capacity that a backend can be trusted with.
func (e *Engine) slowStartShare(b *backend) float64 {
	if b.StartedAt == 0 || e.settings.SlowStartWindow <= 0 || e.now-b.StartedAt >= e.settings.SlowStartWindow {
		return 1
	}
	age := max(e.now-b.StartedAt, 0) / e.settings.SlowStartWindow
	return e.settings.SlowStartMinShare + (1-e.settings.SlowStartMinShare)*age
}

// slowStartAllows keeps a cold backend from being pushed over with no agreement among gateways: each sends
// it at most its warmth times what it sends a warm one, in any short window, so the sum stays within what
// warm ones bear.
func (e *Engine) slowStartAllows(b *backend) bool {
	w := e.slowStartShare(b)
	if w >= 1 {
		return true
	}
	rate := max(w*e.warmTraffic.sendRate, minSlowStartRate/float64(max(e.settings.FleetSize, 1)))
	b.slowStartTokens = min(b.slowStartTokens+rate*(e.now-b.slowStartTokensAt), maxSlowStartTokens)
	b.slowStartTokensAt = e.now
	return b.slowStartTokens >= 1
}

// warmTraffic is what this gateway sends to backends that are past their slow start.
type warmTraffic struct {
	sendRate  float64 // attempts a second to each
	sendCount int     // attempts since the last maintenance
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
