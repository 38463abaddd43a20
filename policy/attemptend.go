package policy

// attemptEnded records the end of an attempt and decides what becomes of the request.
func (e *Engine) attemptEnded(event AttemptEnded) {
	req := e.requests[event.Request]
	if req == nil || event.Attempt >= len(req.attempts) || req.attempts[event.Attempt].ended {
		return
	}
	a, c := &req.attempts[event.Attempt], req.customer
	a.ended = true
	req.attemptsInFlight--
	c.openAttempts--
	if event.Outcome == TimedOut || event.Outcome == Cancelled {
		// A time-out or a cancel may stop no work. If given-up attempts left the count, each would
		// make room for one more at a full backend. It stays the longer the more in a row the backend has
		// let pass.
		a.backend.consecutiveTimeouts++
		stay := min(e.latency.mean*float64(a.backend.consecutiveTimeouts), req.class.Deadline)
		a.backend.abandoned = append(a.backend.abandoned, abandonedAttempt{a.sentAt, e.now + stay, req.level})
	} else {
		e.attemptFinished(a.backend, req.level)
	}
	e.recordOutcome(req, a, event)
	if req.attemptsInFlight == 0 && event.Attempt == len(req.attempts)-1 &&
		a.sentAt == req.firstExecutableAt && provesNoExecution(event.Outcome) {
		req.mayHaveExecuted = false // proved: no attempt has run
	}
	if event.Outcome == Served && e.settings.UnitsEstimated && event.ActualUnits > 0 {
		c.leasedUnits -= event.ActualUnits - req.Units // the guess is put right
	}
	switch {
	case req.finished:
	case event.RequestOver || event.Outcome == Served:
		e.finish(req)
	case req.attemptsInFlight > 0: // another attempt may still answer
	case !e.retry(req):
		e.answerWithout(req, ReasonNoAttempts)
	}
	if req.finished && req.attemptsInFlight == 0 {
		delete(e.requests, req.ID)
	}
	e.admit(req.customer)
}

// provesNoExecution tells which outcomes prove that an attempt had no effect.
func provesNoExecution(o Outcome) bool { return o == Rejected || o == ConnectFailed || o == NotSent }
