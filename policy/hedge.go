package policy

// handleSlowAttempt handles an attempt that takes longer than nearly all do: the silence of its backend
// counts as a failure, and where allowed a hedged request goes to another backend.
func (e *Engine) handleSlowAttempt(req *request, number int) {
	a := &req.attempts[number]
	if a.backend.lastSuccessAt < a.sentAt {
		a.backend.recordFailure(e.now)
	}
	if e.mayHedge(req, number) {
		e.retry(req)
	}
}

// mayHedge reports whether a hedged request may be sent beside an attempt. Only the newest attempt of a
// request is hedged, while even the lowest level would be let go. Where the customer's attempts in flight are
// limited, the second one would take the place of another request.
func (e *Engine) mayHedge(req *request, number int) bool {
	return e.settings.CanHedge &&
		!req.finished && !req.streaming &&
		number == len(req.attempts)-1 &&
		!e.atLimit(0) &&
		req.customer.quota.concurrencyLimit == 0
}
