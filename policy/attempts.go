package policy

import "slices"

// Attempts and final answers: one function sends (send) and one answers (answerWithout), which hold the rules
// that no other step may bypass.

// Further attempts.
const (
	retryShare     = 0.15 // of first sends, so that retries cannot amplify an overload
	maxRetryTokens = 10.0 // retries saved up at most
)

// send starts an attempt; nothing else does. It holds the rules on effects, on attempts out at once and on
// drains, whoever asks.
func (e *Engine) send(req *request, b *backend) bool {
	tries := len(req.attempts)
	// What is sent within the window may wait for a connection and arrive after it.
	window := req.class.DedupeWindow - e.settings.ConnectTimeout - 2*e.settings.Tick
	stale := req.mayHaveExecuted && req.class.Idempotency == IdempotentByKey &&
		e.now > req.firstExecutableAt+window
	if req.finished || req.streaming || !req.admitted || b.State != Ready ||
		!req.sharesDedupeScope(b) || stale ||
		tries >= max(e.settings.MaxAttempts, 1) || req.attemptsInFlight > 0 && !e.settings.CanHedge {
		return false
	}
	if tries == 0 {
		e.retries.tokens = min(e.retries.tokens+retryShare, maxRetryTokens)
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
		e.setTimer(e.slowAfter(), timerSlowAttempt, tries, req.ID)
	}
	return true
}

func (e *Engine) slowAfter() float64 { return e.latency.mean + slowDeviations*e.latency.deviation }

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
		c.lease.units -= event.ActualUnits - req.Units // the guess is put right
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

// retry starts a further attempt if the budget has room and time remains.
func (e *Engine) retry(req *request) bool {
	if e.retries.tokens < 1 || e.now+e.latency.mean > req.answerBy || e.atLimit(len(e.queue.weights)-1) {
		return false
	}
	b := e.pick(req)
	if b == nil || !e.send(req, b) {
		return false
	}
	e.retries.tokens--
	return true
}

// hedgeOrRecordSlow deals with an attempt that takes longer than nearly all do: silence counts against the
// backend, and where allowed a second copy goes elsewhere.
func (e *Engine) hedgeOrRecordSlow(req *request, n int) {
	a := &req.attempts[n]
	if a.backend.lastSuccessAt < a.sentAt {
		e.recordFailure(a.backend)
	}
	if req.finished || req.streaming || len(req.attempts) != n+1 || e.atLimit(0) {
		return
	}
	if e.settings.CanHedge && req.customer.quota.concurrencyLimit == 0 {
		e.retry(req)
	}
}

// answerWithout ends a request without an answer of a backend: refused where that is true to the rules, else
// failed.
func (e *Engine) answerWithout(req *request, reason Reason) {
	if req.class.Idempotency == Idempotent || !req.mayHaveExecuted ||
		req.class.Idempotency == IdempotentByKey && req.class.DedupeScope == ScopeAll {
		advice := 0.0
		if e.settings.CanSendRetryAfter && req.admitted {
			advice = e.settings.MaxRetryAfter
		} else if e.settings.CanSendRetryAfter {
			advice = min(e.settings.MaxRetryAfter, max(req.customer.exhaustedUntil-e.now, 0))
			if t := req.customer.quota; t.concurrencyLimit > 0 && t.localConcurrency == 0 {
				advice = min(e.settings.MaxRetryAfter, e.latency.mean) // another gateway may have a place by then
			}
		}
		e.emit(Reject{Request: req.ID, RetryAfter: advice, Reason: reason})
	} else {
		e.emit(FailRequest{Request: req.ID, Reason: reason})
	}
	e.finish(req)
}

// finish ends a request for good and calls off what is still out.
func (e *Engine) finish(req *request) {
	req.finished = true
	req.customer.waiting = slices.DeleteFunc(req.customer.waiting, func(w *request) bool { return w == req })
	if req.admitted && len(req.attempts) == 0 {
		req.customer.refund(req.Units)
		req.customer.openAttempts--
	}
	for n := range req.attempts {
		if !req.attempts[n].ended && e.settings.CanCancel && !req.streaming {
			e.emit(CancelAttempt{Request: req.ID, Attempt: n})
		}
	}
	if req.attemptsInFlight == 0 {
		delete(e.requests, req.ID)
	}
}

// provesNoExecution tells which outcomes prove that an attempt had no effect.
func provesNoExecution(o Outcome) bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// retryBudget bounds the gateway's own retries and observes those of clients.
type retryBudget struct {
	tokens      float64
	clientShare float64 // share of arriving requests that are a client's retries
}
