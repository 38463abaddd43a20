package policy

// send starts an attempt of the request at the backend; nothing else does. It holds the rules on effects, on
// attempts in flight and on draining backends, whoever calls it, and reports whether they let the attempt
// begin.
func (e *Engine) send(req *request, b *backend) bool {
	if !e.maySend(req, b) {
		return false
	}
	number := len(req.attempts)
	e.countAttempt(req, number)
	req.markExecutable(b, e.now)
	req.attempts = append(req.attempts, attempt{backend: b, sentAt: e.now})
	req.attemptsInFlight++
	e.attemptStarted(b, req.level)
	e.chargeSlowStart(b)
	e.emit(SendAttempt{Request: req.ID, Backend: b.ID, Timeout: max(req.answerBy-e.now, e.settings.Tick)})
	if e.latency.mean > 0 {
		e.setTimer(e.latency.slowThreshold(), timerToken{kind: slowAttemptTimer, attempt: number, request: req.ID})
	}
	return true
}

// maySend reports whether an attempt of the request may begin at the backend now.
func (e *Engine) maySend(req *request, b *backend) bool {
	return req.awaitsAnswer() &&
		b.State == Ready &&
		req.sharesDedupeScope(b) &&
		!e.dedupeWindowOver(req) &&
		e.attemptsRemain(req) &&
		e.mayRunConcurrently(req)
}

// awaitsAnswer reports whether the request is admitted, has no final answer, and none has begun.
func (req *request) awaitsAnswer() bool {
	return req.admitted && !req.finished && !req.streaming
}

// dedupeWindowOver reports whether backends may no longer drop a duplicate of a keyed request. What is sent
// within the window may wait for a connection and arrive after it.
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

// mayRunConcurrently reports whether one more attempt may run beside those of the request that are in flight.
func (e *Engine) mayRunConcurrently(req *request) bool {
	return req.attemptsInFlight == 0 || e.settings.CanHedge
}

// countAttempt counts an attempt of that number. A first one adds to the retry budget; its slot under the
// customer's concurrency limit was taken at admission, while each further attempt takes one more.
func (e *Engine) countAttempt(req *request, number int) {
	if number == 0 {
		e.retries.recordFirstAttempt()
		return
	}
	req.customer.openAttempts++
}

// markExecutable notes that the request may execute at the backend from now on, unless it may have before.
func (req *request) markExecutable(b *backend, now float64) {
	if req.mayHaveExecuted {
		return
	}
	req.mayHaveExecuted = true
	req.firstExecutableAt = now
	req.firstExecutableBackend = b
}
