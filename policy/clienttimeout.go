package policy

import "math"

// clientTimeout is how long the clients of a class and plan wait for an attempt of theirs at the gateway. The
// zero value is that of a class and plan of which nothing has arrived.
type clientTimeout struct {
	latest float64 // seconds; that of the newest request
	usual  float64 // seconds; the newest that came twice in a row; 0: none has
}

// observe takes in the timeout of a request. Timeouts that differ by less than tolerance are the same.
func (c *clientTimeout) observe(timeout, tolerance float64) {
	if math.Abs(timeout-c.latest) < tolerance {
		c.usual = timeout
	}
	c.latest = timeout
}

// isUsual reports whether a timeout is the usual one, or that is unknown.
func (c *clientTimeout) isUsual(timeout, tolerance float64) bool {
	return c.usual == 0 || math.Abs(timeout-c.usual) < tolerance
}

// timeSpentOnEarlierAttempts returns the seconds that the client has surely spent on earlier attempts. Most
// requests of a class and plan come with the same timeout; one that has another is cut to what is left of the
// client's whole time. A retry whose latency objective has passed earns nothing, yet takes units, a counter
// call and a backend's time from requests that may still earn; a first request must not be taken for one, so
// an unknown usual timeout says nothing.
func (e *Engine) timeSpentOnEarlierAttempts(r Request, class *Class) float64 {
	timeout := r.Deadline - r.SentAt
	tolerance := e.timingMargin()
	observed := &e.clientTimeouts[r.Class*len(e.settings.Plans)+r.Plan]
	observed.observe(timeout, tolerance)
	if observed.isUsual(timeout, tolerance) {
		return 0
	}
	return max(class.Deadline-timeout, 0)
}
