package policy

import "slices"

// abandonedAttempt is an attempt that ended without an answer and may still be running at its backend.
type abandonedAttempt struct {
	sentAt    float64
	expiresAt float64 // when it is taken to have ended
	level     int     // of its request
}

// attemptStarted counts an attempt as work in flight.
func (e *Engine) attemptStarted(b *backend, level int) {
	b.inFlight++
	b.inFlightByLevel[level]++
	e.limiter.inFlight++
}

// attemptFinished takes an attempt out of the counts of work in flight.
func (e *Engine) attemptFinished(b *backend, level int) {
	b.inFlight--
	b.inFlightByLevel[level]--
	e.limiter.inFlight--
}

// attemptAbandoned leaves an attempt that timed out or was cancelled in the counts of work in flight for a
// while: neither may have stopped the work. If abandoned attempts left the counts, each would allow one more
// at a full backend. It stays the longer the more attempts in a row the backend has left unanswered.
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

// expireAbandoned ends the backend's abandoned attempts that were sent before a served attempt was, since
// backends take work in order, and those that have stayed for their time. The argument is when the served
// attempt was sent, 0 where none was.
func (e *Engine) expireAbandoned(b *backend, servedSentAt float64) {
	b.abandoned = slices.DeleteFunc(b.abandoned, func(a abandonedAttempt) bool {
		expired := a.sentAt < servedSentAt || a.expiresAt < e.now
		if expired {
			e.attemptFinished(b, a.level)
		}
		return expired
	})
}
