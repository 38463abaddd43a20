package policy

// handleSlowAttempt handles an attempt that takes longer than almost all others. If the backend has served no
// attempt of this gateway since the slow attempt was sent, a failure of the backend is recorded. If mayHedge
// allows it, a hedged request is sent to another backend.
func (e *Engine) handleSlowAttempt(req *request, number int) {
	a := &req.attempts[number]
	if a.isCurrent() && a.backend.lastSuccessAt < a.sentAt {
		a.backend.recordFailure(e.now)
	}
	if e.mayHedge(req, number) {
		e.retry(req)
	}
}

// mayHedge reports whether a hedged request may be sent in addition to an attempt. Only the newest attempt of
// a request is hedged, and only while the concurrency limit allows an attempt even for requests over quota.
// Customers with a concurrency limit get no hedged requests, since each hedged request would use a slot that
// another request could use.
func (e *Engine) mayHedge(req *request, number int) bool {
	return e.settings.CanHedge &&
		!req.finished && !req.streaming &&
		number == len(req.attempts)-1 &&
		!e.atLimit(overQuotaLevel) &&
		req.customer.quota.concurrencyLimit == 0
}
