package policy

import "math"

// clientTimeout estimates how long the clients of a class and plan wait for the answer to one request. The
// zero value is for a class and plan without requests so far.
type clientTimeout struct {
	latest float64 // seconds; timeout of the newest request
	usual  float64 // seconds; newest timeout that two consecutive requests had; 0: unknown
}

// observe records the timeout of a request. Timeouts that differ by less than tolerance count as equal.
func (c *clientTimeout) observe(timeout, tolerance float64) {
	if math.Abs(timeout-c.latest) < tolerance {
		c.usual = timeout
	}
	c.latest = timeout
}

// isUsual reports whether a timeout equals the usual timeout, or the usual timeout is unknown.
func (c *clientTimeout) isUsual(timeout, tolerance float64) bool {
	return c.usual == 0 || math.Abs(timeout-c.usual) < tolerance
}

// timeSpentBeforeRetry returns the number of seconds that the client of a retry has presumably spent before
// it sent the retry, at this or another gateway. It returns 0 for a request that it does not recognize as a
// retry.
//
// Most requests of a class and plan have the same timeout. If the timeout of a retry differs from the usual
// timeout, the client has probably shortened the timeout to the time left of the class's deadline. Where
// clients don't mark retries, any request with such a timeout counts as a retry. The result is 0 as long as
// the usual timeout is unknown.
func (e *Engine) timeSpentBeforeRetry(r Request, class *Class) float64 {
	timeout := r.Deadline - r.SentAt
	tolerance := e.timingMargin()
	observed := &e.clientTimeouts[r.Class*len(e.settings.Plans)+r.Plan]
	mayBeFirst := !e.settings.ClientsMarkRetries || !r.IsRetry
	mayBeRetry := !e.settings.ClientsMarkRetries || r.IsRetry
	if mayBeFirst {
		observed.observe(timeout, tolerance)
	}
	if !mayBeRetry || observed.isUsual(timeout, tolerance) {
		return 0
	}
	return max(class.Deadline-timeout, 0)
}
