package policy

import "math"

// Parameters of the vote for the usual timeout of clients.
const (
	minTimeoutSupport = 4  // support from which on the usual timeout counts as known
	maxTimeoutSupport = 16 // largest support; limits for how many requests an outdated timeout counts as usual
)

// clientTimeout estimates how long most clients of a class and plan wait for the answer to one request. It is
// a majority vote over the recent requests, in which no single request decides. Every arriving request that
// may be a client's first takes part, whatever becomes of it, so the decisions that depend on the vote cannot
// stop its correction. The zero value is for a class and plan without requests so far.
type clientTimeout struct {
	usual   float64 // seconds; timeout that leads the vote
	support int     // requests with the usual timeout, minus others; from 0 to maxTimeoutSupport
}

// observe records the timeout of a request. Timeouts that differ by less than tolerance count as equal.
func (c *clientTimeout) observe(timeout, tolerance float64) {
	switch {
	case math.Abs(timeout-c.usual) < tolerance:
		c.support = min(c.support+1, maxTimeoutSupport)
	case c.support > 0:
		c.support--
	default:
		c.usual = timeout
		c.support = 1
	}
}

// isShortened reports whether a timeout is shorter than the usual timeout. It returns false while there is no
// timeout that most clients have.
func (c *clientTimeout) isShortened(timeout, tolerance float64) bool {
	return c.support >= minTimeoutSupport && timeout <= c.usual-tolerance
}

// timeSpentBeforeRetry returns the number of seconds that the client of a retry has presumably spent before
// it sent the retry, at this or another gateway. It returns 0 for a request that it does not recognize as a
// retry.
//
// A client whose retry has a shorter timeout than is usual for the class and plan has probably shortened it
// to the time left of the class's deadline. Where clients don't mark retries, any request with such a timeout
// counts as a retry.
func (e *Engine) timeSpentBeforeRetry(r Request, class *Class) float64 {
	timeout := r.Deadline - r.SentAt
	tolerance := e.timingMargin()
	observed := &e.clientTimeouts[r.Class*len(e.settings.Plans)+r.Plan]
	mayBeFirst := !e.settings.ClientsMarkRetries || !r.IsRetry
	mayBeRetry := !e.settings.ClientsMarkRetries || r.IsRetry
	if mayBeFirst {
		observed.observe(timeout, tolerance)
	}
	if !mayBeRetry || !observed.isShortened(timeout, tolerance) {
		return 0
	}
	return max(class.Deadline-timeout, 0)
}
