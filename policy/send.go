package policy

// send starts an attempt; nothing else does. It holds the rules on effects, on attempts out at once and on
// drains, whoever asks.
func (e *Engine) send(req *request, b *backend) bool {
	tries := len(req.attempts)
	// What is sent within the window may wait for a connection and arrive after it.
	window := req.class.DedupeWindow - e.settings.ConnectTimeout - e.timingMargin()
	stale := req.mayHaveExecuted && req.class.Idempotency == IdempotentByKey &&
		e.now > req.firstExecutableAt+window
	if req.finished || req.streaming || !req.admitted || b.State != Ready ||
		!req.sharesDedupeScope(b) || stale ||
		tries >= max(e.settings.MaxAttempts, 1) || req.attemptsInFlight > 0 && !e.settings.CanHedge {
		return false
	}
	if tries == 0 {
		e.retries.recordFirstAttempt()
	} else {
		req.customer.openAttempts++
	}
	if !req.mayHaveExecuted {
		req.mayHaveExecuted, req.firstExecutableAt, req.firstExecutableBackend = true, e.now, b
	}
	req.attempts = append(req.attempts, attempt{backend: b, sentAt: e.now})
	req.attemptsInFlight++
	e.attemptStarted(b, req.level)
	if e.slowStartShare(b) < 1 {
		b.slowStartTokens--
	} else {
		e.warmTraffic.sendCount++
	}
	e.emit(SendAttempt{Request: req.ID, Backend: b.ID, Timeout: max(req.answerBy-e.now, e.settings.Tick)})
	if e.latency.mean > 0 {
		e.setTimer(e.latency.slowAfter(), timerToken{kind: slowAttemptTimer, attempt: tries, request: req.ID})
	}
	return true
}
