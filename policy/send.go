package policy

// send starts an attempt of the request at the backend if maySend allows the attempt, and reports whether it
// did. Only send starts attempts, so maySend's rules on repeated execution, on attempts in flight and on
// draining backends hold for all attempts.
func (e *Engine) send(req *request, b *backend) bool {
	if !e.maySend(req, b) {
		return false
	}
	number := len(req.attempts)
	e.countAttempt(req, number)
	req.markExecutable(b, e.now)
	req.attempts = append(req.attempts, attempt{backend: b, processStartedAt: b.StartedAt, sentAt: e.now})
	req.attemptsInFlight++
	e.attemptStarted(b, req.level)
	e.chargeSlowStart(b)
	e.emit(SendAttempt{Request: req.ID, Backend: b.ID, Timeout: max(req.answerBy-e.now, e.settings.Tick)})
	if e.latency.mean > 0 {
		e.setTimer(e.latency.slowThreshold(), timerToken{kind: slowAttemptTimer, attempt: number, request: req.ID})
	}
	return true
}

// maySend reports whether an attempt of the request may be started at the backend now.
func (e *Engine) maySend(req *request, b *backend) bool {
	return req.awaitsAnswer() &&
		b.State == Ready &&
		req.mayExecuteAt(b) &&
		!e.dedupeWindowOver(req) &&
		e.attemptsRemain(req) &&
		e.mayRunConcurrently(req)
}

// awaitsAnswer reports whether the request is admitted, is not finished, and no response to it is being
// streamed.
func (req *request) awaitsAnswer() bool {
	return req.admitted && !req.finished && !req.streaming
}

// dedupeWindowOver reports whether an attempt of an IdempotentByKey request that starts now could reach its
// backend after the dedupe window, when the backend would no longer drop the duplicate. The attempt may wait
// for a connection for up to ConnectTimeout before it is sent.
func (e *Engine) dedupeWindowOver(req *request) bool {
	if !req.mayHaveExecuted || req.class.Idempotency != IdempotentByKey {
		return false
	}
	window := req.class.DedupeWindow - e.settings.ConnectTimeout - e.timingMargin()
	return e.now > req.firstExecutableAt+window
}

// attemptsRemain reports whether the settings allow the request one more attempt.
func (e *Engine) attemptsRemain(req *request) bool {
	return len(req.attempts) < max(e.settings.MaxAttempts, 1)
}

// mayRunConcurrently reports whether the request has no attempt in flight, or may have several in flight at
// once.
func (e *Engine) mayRunConcurrently(req *request) bool {
	return req.attemptsInFlight == 0 || e.settings.CanHedge
}

// countAttempt counts a new attempt; number is its number within the request. The first attempt adds to the
// retry budget. Its slot under the customer's concurrency limit was taken at admission. Each further attempt
// takes one more slot.
func (e *Engine) countAttempt(req *request, number int) {
	if number == 0 {
		e.retries.recordFirstAttempt()
		return
	}
	req.customer.openAttempts++
}

// markExecutable records that the backend may execute the request from now on, unless an earlier attempt may
// already have been executed.
func (req *request) markExecutable(b *backend, now float64) {
	if req.mayHaveExecuted {
		return
	}
	req.mayHaveExecuted = true
	req.firstExecutableAt = now
	req.firstExecutableBackend = b
}
