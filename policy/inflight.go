package policy

import "slices"

// abandonedAttempt is an attempt that ended without a response and that its backend may still be executing.
type abandonedAttempt struct {
	sentAt    float64
	expiresAt float64 // clock time from which it no longer counts as in flight
	level     int     // level of its request
}

// attemptStarted adds an attempt to the counts of work in flight.
func (e *Engine) attemptStarted(b *backend, level int) {
	b.inFlight++
	b.inFlightByLevel[level]++
	e.limiter.inFlight++
}

// attemptFinished removes an attempt from the counts of work in flight.
func (e *Engine) attemptFinished(b *backend, level int) {
	b.inFlight--
	b.inFlightByLevel[level]--
	e.limiter.inFlight--
}

// attemptAbandoned keeps an attempt that timed out or was cancelled in the counts of work in flight for a
// while, since the backend may still be executing it. If it left the counts at once, one more attempt could
// be sent to a backend that is full. It stays counted for longer the more attempts in a row the backend has
// left unanswered.
func (e *Engine) attemptAbandoned(req *request, a *attempt) {
	b := a.backend
	b.consecutiveTimeouts++
	countedFor := min(e.latency.mean*float64(b.consecutiveTimeouts), req.class.Deadline)
	b.abandoned = append(b.abandoned, abandonedAttempt{
		sentAt:    a.sentAt,
		expiresAt: e.now + countedFor,
		level:     req.level,
	})
}

// expireAbandoned removes abandoned attempts of a backend from the counts: those whose time has expired, and
// those that were sent before an attempt that has been served, since backends process work in order.
// servedSentAt is the clock time at which the served attempt was sent, 0 if there is none.
func (e *Engine) expireAbandoned(b *backend, servedSentAt float64) {
	b.abandoned = slices.DeleteFunc(b.abandoned, func(a abandonedAttempt) bool {
		expired := a.sentAt < servedSentAt || a.expiresAt < e.now
		if expired {
			e.attemptFinished(b, a.level)
		}
		return expired
	})
}
