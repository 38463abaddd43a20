package policy

// request is one request from its arrival until its last attempt has ended.
type request struct {
	Request
	class                         *Class
	customer                      *customer
	level                         int
	answerBy                      float64 // an answer after this earns nothing
	admitted, finished, streaming bool    // its units are taken; it is over; its answer has begun
	attempts                      []attempt
	attemptsInFlight              int
	mayHaveExecuted               bool     // an attempt may have run, or is out
	firstExecutableAt             float64  // when the first such was sent
	firstExecutableBackend        *backend // and where
}

type attempt struct {
	backend *backend
	sentAt  float64
	ended   bool
}

// openRequest returns a request that is not over, or nil.
func (e *Engine) openRequest(id RequestID) *request {
	if req := e.requests[id]; req != nil && !req.finished {
		return req
	}
	return nil
}

// sharesDedupeScope tells whether s would drop a repeat of j, if j may have run.
func (req *request) sharesDedupeScope(b *backend) bool {
	if !req.mayHaveExecuted || req.class.Idempotency == Idempotent {
		return true
	}
	scope := req.class.DedupeScope
	return req.class.Idempotency == IdempotentByKey && (scope == ScopeAll ||
		scope == ScopeZone && b.Zone == req.firstExecutableBackend.Zone ||
		scope == ScopeCell && b.Cell == req.firstExecutableBackend.Cell)
}
