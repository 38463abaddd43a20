package policy

// A client's retry that arrives after the latency objective of its first request earns nothing. The engine
// can only presume this, from the time that the client still waits. A presumption may be wrong for every
// request of a class, and no outcome would correct it, so it never rejects a request while there is capacity
// and never shortens the time of an attempt. A request that is presumed late gets only what no other request
// needs: it has the lowest level, waits until presumedLateLimitShare of the concurrency limit is free, and
// gets no units while its customer is short of them.

// shortageMemory is the time in seconds for which a customer counts as short of units after a request has
// been rejected for its quota. Rejections that follow from a shortage don't prolong it, so a request that is
// presumed late is decided on by the units at least that often.
const shortageMemory = 1.0

// presumeUsefulTime sets the clock time until which an answer to an arriving request presumably earns
// something. If that time is over before an attempt can end, the request gets the lowest level.
func (e *Engine) presumeUsefulTime(req *request) {
	req.usefulUntil = req.answerBy
	if !req.class.lateAnswersEarnNothing() {
		return
	}
	spent := e.timeSpentBeforeRetry(req.Request, req.class)
	if spent == 0 {
		return
	}
	req.usefulUntil = min(req.answerBy, req.SentAt+req.class.LatencyObjective-spent)
	if req.usefulUntil < e.now+e.latency.mean/2 {
		e.presumedLate++
		req.presumedLate = true
		req.level = presumedLateLevel
	}
}

// lateAnswersEarnNothing reports whether answers after the latency objective are known to earn nothing. It
// returns false for two kinds of class: classes whose late answers earn a share of the weight, and classes
// whose objective grows with the request's work.
func (c *Class) lateAnswersEarnNothing() bool {
	return c.LateWeightShare == 0 && c.ObjectivePerUnit == 0
}

// shortOfUnits reports whether a request of the customer has been rejected for its quota a short time ago.
func (c *customer) shortOfUnits(now float64) bool { return now < c.shortUntil }

// recordShortage records that a request has been rejected since the customer has too few units.
func (c *customer) recordShortage(now float64) { c.shortUntil = now + shortageMemory }
