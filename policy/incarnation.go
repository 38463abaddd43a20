package policy

// maxNotifyDelay is the longest time in seconds from a change until discovery has notified a gateway that
// discovery can reach.
const maxNotifyDelay = 6.0

// isNewProcess reports whether an entry of the endpoint list tells of another process of the backend than
// the known one. A start time of 0 only says that the process started long ago. The start time of a new
// process may be earlier than that of the old one, since the clock of the backend's machine may have been
// set back.
func (b *backend) isNewProcess(entry Backend) bool {
	return entry.StartedAt != 0 && entry.StartedAt != b.StartedAt
}

// beginProcess discards what is known about a backend's previous process, and begins the slow start of the
// new process with a random fraction of a token. With many gateways, a single gateway may send a backend
// in slow start only one request in many seconds. If every gateway began without tokens, the backend would
// first be idle although it is needed, and would then get requests from all gateways simultaneously.
func (e *Engine) beginProcess(b *backend, startedAt float64) {
	b.slowStartFrom = max(b.slowStartFrom, e.slowStartFrom(b, startedAt))
	b.latency = 0
	b.failureRate = 0
	b.consecutiveTimeouts = 0
	b.lastSuccessAt = 0
	b.nextTrialAt = 0
	b.trialInterval = 0
	for _, a := range b.abandoned { // the previous process no longer executes them
		e.attemptFinished(b, a.level)
	}
	b.abandoned = nil
	b.slowStartTokens = e.rng.Float64()
	b.slowStartTokensAt = e.now
}

// slowStartFrom returns the time from which on the slow start of a new process counts. If the clock of the
// backend's machine is off, its start time may be in the future, or before that of the previous process.
// The new process then counts as started now, or as late as the previous process can have ended.
func (e *Engine) slowStartFrom(b *backend, startedAt float64) float64 {
	if startedAt < b.StartedAt {
		return max(b.lastSuccessAt, e.now-maxNotifyDelay)
	}
	return min(startedAt, e.now)
}

// isCurrent reports whether an attempt was sent to the current process of its backend. The end of an
// attempt says nothing about another process.
func (a *attempt) isCurrent() bool { return a.processStartedAt == a.backend.StartedAt }
