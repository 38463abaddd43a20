package policy

import "slices"

// abandonedAttempt is an attempt that ended without a response, although its backend may still be executing
// it.
type abandonedAttempt struct {
	sentAt    float64
	expiresAt float64 // clock time after which the attempt no longer counts as in flight
	level     int     // level of the request
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
// while, since the backend may still be executing it. If the attempt left the counts immediately, another
// attempt could be sent to a backend that is full. The attempt is counted for the mean latency times the
// backend's consecutiveTimeouts, but at most for the Deadline of the request's class.
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

// expireAbandoned removes abandoned attempts of a backend from the counts of work in flight if their
// expiresAt has passed, or if they were sent before an attempt that has been served, since backends process
// attempts in order. servedSentAt is the clock time at which the served attempt was sent, 0 if no attempt was
// served.
func (e *Engine) expireAbandoned(b *backend, servedSentAt float64) {
	b.abandoned = slices.DeleteFunc(b.abandoned, func(a abandonedAttempt) bool {
		expired := a.sentAt < servedSentAt || a.expiresAt < e.now
		if expired {
			e.attemptFinished(b, a.level)
		}
		return expired
	})
}
