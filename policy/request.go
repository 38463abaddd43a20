package policy

// request is one request from its arrival until its last attempt has ended.
type request struct {
	Request
	class            *Class
	customer         *customer
	level            int     // of the queue; 0: beyond the customer's quota
	answerBy         float64 // clock time; an answer after this earns nothing
	admitted         bool    // its units are taken from the customer's quota
	finished         bool    // it has its final answer, or needs none
	streaming        bool    // a backend's answer has begun
	attempts         []attempt
	attemptsInFlight int

	mayHaveExecuted        bool     // an attempt may have run, or is in flight
	firstExecutableAt      float64  // clock time at which the first such attempt was sent
	firstExecutableBackend *backend // and where to
}

// attempt is one sending of a request to a backend.
type attempt struct {
	backend *backend
	sentAt  float64 // clock time
	ended   bool
}

// openRequest returns the request of an id, or nil where that is unknown or finished.
func (e *Engine) openRequest(id RequestID) *request {
	if req := e.requests[id]; req != nil && !req.finished {
		return req
	}
	return nil
}

// deleteIfFinished drops a finished request once none of its attempts is in flight.
func (e *Engine) deleteIfFinished(req *request) {
	if req.finished && req.attemptsInFlight == 0 {
		delete(e.requests, req.ID)
	}
}

// attemptInFlight reports whether the request has an attempt of that number which has not ended.
func (req *request) attemptInFlight(number int) bool {
	return number < len(req.attempts) && !req.attempts[number].ended
}

// inFlightAt reports whether an attempt of the request is in flight at the backend.
func (req *request) inFlightAt(b *backend) bool {
	for i := range req.attempts {
		if req.attempts[i].backend == b && !req.attempts[i].ended {
			return true
		}
	}
	return false
}

// lastAttemptedAt reports whether the newest attempt of the request was sent to the backend.
func (req *request) lastAttemptedAt(b *backend) bool {
	n := len(req.attempts)
	return n > 0 && req.attempts[n-1].backend == b
}

// sharesDedupeScope reports whether an attempt at the backend has no second effect: no attempt has run, or
// the request is idempotent, or the backend would drop the duplicate.
func (req *request) sharesDedupeScope(b *backend) bool {
	if !req.mayHaveExecuted || req.class.Idempotency == Idempotent {
		return true
	}
	if req.class.Idempotency != IdempotentByKey {
		return false
	}
	switch req.class.DedupeScope {
	case ScopeAll:
		return true
	case ScopeZone:
		return b.Zone == req.firstExecutableBackend.Zone
	case ScopeCell:
		return b.Cell == req.firstExecutableBackend.Cell
	}
	return false
}

// mayBeRepeatedAnywhere reports whether a client may send the request again, through any gateway, with no
// second effect. Only then may it be rejected: a rejection promises that.
func (req *request) mayBeRepeatedAnywhere() bool {
	if req.class.Idempotency == Idempotent || !req.mayHaveExecuted {
		return true
	}
	return req.class.Idempotency == IdempotentByKey && req.class.DedupeScope == ScopeAll
}
