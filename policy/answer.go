package policy

import "slices"

// answerWithout gives a request its final answer without one of a backend: it is rejected where the client
// may send it again with no second effect, else failed.
func (e *Engine) answerWithout(req *request, reason Reason) {
	if req.mayBeRepeatedAnywhere() {
		e.emit(Reject{Request: req.ID, RetryAfter: e.retryAfter(req), Reason: reason})
	} else {
		e.emit(FailRequest{Request: req.ID, Reason: reason})
	}
	e.finish(req)
}

// retryAfter returns the seconds after which the client of a rejected request should send it again, 0 where
// that is not known or the settings allow no such advice. An admitted request was rejected for want of
// capacity, any other for its customer's quota.
func (e *Engine) retryAfter(req *request) float64 {
	if !e.settings.CanSendRetryAfter {
		return 0
	}
	if req.admitted {
		return e.settings.MaxRetryAfter
	}
	if quota := req.customer.quota; quota.concurrencyLimit > 0 && quota.localConcurrency == 0 {
		// Another gateway may have capacity for the customer by then.
		return min(e.settings.MaxRetryAfter, e.latency.mean)
	}
	return min(e.settings.MaxRetryAfter, max(req.customer.exhaustedUntil-e.now, 0))
}

// finish closes a request for good: what waits for it no longer does, and what it took and did not use goes
// back to its customer.
func (e *Engine) finish(req *request) {
	req.finished = true
	req.customer.waiting = slices.DeleteFunc(req.customer.waiting, func(w *request) bool { return w == req })
	if req.admitted && len(req.attempts) == 0 {
		req.customer.refund(req.Units)
		req.customer.openAttempts--
	}
	e.cancelAttempts(req)
	e.deleteIfFinished(req)
}

// cancelAttempts cancels the attempts of a request that are in flight, unless its answer is being streamed
// from one.
func (e *Engine) cancelAttempts(req *request) {
	if !e.settings.CanCancel || req.streaming {
		return
	}
	for number := range req.attempts {
		if req.attemptInFlight(number) {
			e.emit(CancelAttempt{Request: req.ID, Attempt: number})
		}
	}
}

// responseStarted notes that a backend's answer is being streamed to the client: from now on no deadline ends
// the request, and no further attempt begins.
func (e *Engine) responseStarted(id RequestID) {
	if req := e.openRequest(id); req != nil {
		req.streaming = true
	}
}

// clientDisconnected closes a request whose client waits no longer.
func (e *Engine) clientDisconnected(id RequestID) {
	if req := e.openRequest(id); req != nil {
		e.finish(req)
	}
}
