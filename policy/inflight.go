package policy

import "slices"

// abandonedAttempt is an attempt that was given up and may still take up its backend.
type abandonedAttempt struct {
	sentAt, expiresAt float64
	level             int
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

// expireAbandoned ends the ghosts of s that were sent before a served attempt, since backends take work in
// order, and those that have outlived all patience.
func (e *Engine) expireAbandoned(b *backend, served float64) {
	b.abandoned = slices.DeleteFunc(b.abandoned, func(h abandonedAttempt) bool {
		over := h.sentAt < served || h.expiresAt < e.now
		if over {
			e.attemptFinished(b, h.level)
		}
		return over
	})
}
