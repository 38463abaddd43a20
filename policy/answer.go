package policy

import "slices"

// rejectOrFail gives a request its final answer without a response from a backend: it rejects the request
// if the client may repeat it without a second effect, else it fails the request.
func (e *Engine) rejectOrFail(req *request, reason Reason) {
	if req.mayBeRepeatedAnywhere() {
		e.emit(Reject{Request: req.ID, RetryAfter: e.retryAfter(req), Reason: reason})
	} else {
		e.emit(FailRequest{Request: req.ID, Reason: reason})
	}
	e.finish(req)
}

// retryAfter returns the seconds after which the client of a rejected request should repeat it, 0 if that is
// unknown or the settings don't allow a Retry-After. An admitted request was rejected for lack of capacity,
// any other because of its customer's quota.
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

// finish ends a request: it no longer waits for units, and if it was admitted but never sent, its units and
// its place under the customer's concurrency limit are returned. Attempts in flight are cancelled if
// possible.
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

// cancelAttempts cancels the attempts of a request that are in flight, unless one of them is streaming its
// response.
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
