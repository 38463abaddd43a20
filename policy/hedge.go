package policy

// hedgeOrRecordSlow deals with an attempt that takes longer than nearly all do: silence counts against the
// backend, and where allowed a second copy goes elsewhere.
func (e *Engine) hedgeOrRecordSlow(req *request, n int) {
	a := &req.attempts[n]
	if a.backend.lastSuccessAt < a.sentAt {
		a.backend.recordFailure(e.now)
	}
	if req.finished || req.streaming || len(req.attempts) != n+1 || e.atLimit(0) {
		return
	}
	if e.settings.CanHedge && req.customer.quota.concurrencyLimit == 0 {
		e.retry(req)
	}
}
