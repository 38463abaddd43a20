package policy

import "slices"

// answerWithout ends a request without an answer of a backend: refused where that is true to the rules, else
// failed.
func (e *Engine) answerWithout(req *request, reason Reason) {
	if req.mayBeRepeatedAnywhere() {
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
	e.forgetIfOver(req)
}
