package policy

import "slices"

// rejectOrFail gives a request its final answer without a response from a backend. It rejects the request if
// the client may repeat the request without a second effect, and fails it otherwise.
func (e *Engine) rejectOrFail(req *request, reason Reason) {
	if req.mayBeRepeatedAnywhere() {
		e.emit(Reject{Request: req.ID, RetryAfter: e.retryAfter(req), Reason: reason})
	} else {
		e.emit(FailRequest{Request: req.ID, Reason: reason})
	}
	e.finish(req)
}

// retryAfter returns the number of seconds after which the client of a rejected request should repeat the
// request. It returns 0 if this time is unknown, or if the settings don't allow a Retry-After. An admitted
// request is rejected for lack of capacity, so its client should wait for MaxRetryAfter. If the request was
// not admitted, the time depends on the customer's limits.
func (e *Engine) retryAfter(req *request) float64 {
	if !e.settings.CanSendRetryAfter {
		return 0
	}
	if req.admitted {
		return e.settings.LongestRetryAfter()
	}
	if quota := req.customer.quota; quota.concurrencyLimit > 0 && quota.localConcurrency == 0 {
		// The retry may reach another gateway. That gateway may have capacity for the customer after a mean
		// latency.
		return min(e.settings.MaxRetryAfter, e.latency.mean)
	}
	return min(e.settings.MaxRetryAfter, max(req.customer.exhaustedUntil-e.now, 0))
}

// finish ends a request. The request no longer waits for admission. If it was admitted but never sent, its
// units and its slot under the customer's concurrency limit are returned. Attempts in flight are cancelled if
// possible (see cancelAttempts).
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

// cancelAttempts cancels the attempts of a request that are in flight, unless a response is being streamed or
// the gateway cannot cancel attempts.
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

// responseStarted records that a backend's response is being streamed to the client. From now on no deadline
// ends the request, and no further attempt is started.
func (e *Engine) responseStarted(id RequestID) {
	if req := e.openRequest(id); req != nil {
		req.streaming = true
	}
}

// clientDisconnected ends a request whose client no longer waits.
func (e *Engine) clientDisconnected(id RequestID) {
	if req := e.openRequest(id); req != nil {
		e.finish(req)
	}
}
