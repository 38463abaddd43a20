package policy

// request is the state of a request, from its arrival until it is finished and its last attempt has ended.
type request struct {
	Request
	class            *Class
	customer         *customer
	level            int     // level in priorityQueue
	answerBy         float64 // clock time by which the request is to be answered; a later answer earns nothing
	usefulUntil      float64 // clock time after which an answer presumably earns nothing; at most answerBy
	presumedLate     bool    // usefulUntil was over at the arrival
	admitted         bool    // the request has passed the customer's quota and concurrency limit
	finished         bool    // the request has its final answer, or no longer needs an answer
	streaming        bool    // a backend has begun to stream its response to the client
	attempts         []attempt
	attemptsInFlight int

	mayHaveExecuted        bool     // an attempt is in flight, or may have been executed
	firstExecutableAt      float64  // clock time at which the first attempt that may have been executed was sent
	firstExecutableBackend *backend // backend of the first attempt that may have been executed
}

// attempt is the state of one attempt of a request at a backend.
type attempt struct {
	backend          *backend
	processStartedAt float64 // start time of the backend's process to which the attempt was sent
	sentAt           float64 // clock time at which the attempt was sent
	ended            bool
}

// openRequest returns the request with the given ID, or nil if it is unknown or finished.
func (e *Engine) openRequest(id RequestID) *request {
	if req := e.requests[id]; req != nil && !req.finished {
		return req
	}
	return nil
}

// deleteIfFinished deletes a request that is finished and has no attempts in flight.
func (e *Engine) deleteIfFinished(req *request) {
	if req.finished && req.attemptsInFlight == 0 {
		delete(e.requests, req.ID)
	}
}

// attemptInFlight reports whether the request's attempt with the given number exists and has not ended.
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

// lastAttemptedAt reports whether the latest attempt of the request was sent to the backend.
func (req *request) lastAttemptedAt(b *backend) bool {
	n := len(req.attempts)
	return n > 0 && req.attempts[n-1].backend == b
}

// mayExecuteAt reports whether an attempt at the backend cannot have a second effect: no earlier attempt can
// have been executed, the request is idempotent, or the backend drops the duplicate.
func (req *request) mayExecuteAt(b *backend) bool {
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

// mayBeRepeatedAnywhere reports whether a client may repeat the request, through any gateway, without a
// second effect. A rejection tells the client that the request may be repeated, so a request that must not be
// repeated is failed instead.
func (req *request) mayBeRepeatedAnywhere() bool {
	if req.class.Idempotency == Idempotent || !req.mayHaveExecuted {
		return true
	}
	return req.class.Idempotency == IdempotentByKey && req.class.DedupeScope == ScopeAll
}
