package policy

// timerKind is the purpose of a timer.
type timerKind uint8

// The kinds of timer.
const (
	maintenanceTimer    timerKind = iota // the next round of maintenance is due
	sendDeadlineTimer                    // a first attempt that started now would end too late
	answerDeadlineTimer                  // a request must be answered now
	pollEndpointsTimer                   // discovery is to be polled again after a failure
	slowAttemptTimer                     // an attempt takes longer than almost all others
)

// timerToken identifies a timer in SetTimer and TimerFired. The request is 0 if the timer belongs to no
// request.
type timerToken struct {
	kind    timerKind
	attempt int // number of the attempt within its request, below 256; only for slowAttemptTimer
	request RequestID
}

// Bit positions in a packed token: the kind is in bits 56 to 63, the attempt in bits 32 to 39, and the
// request in bits 0 to 31.
const (
	timerKindShift    = 56
	timerAttemptShift = 32
)

// pack encodes the token as the number in SetTimer.
func (t timerToken) pack() uint64 {
	return uint64(t.kind)<<timerKindShift | uint64(t.attempt)<<timerAttemptShift | uint64(t.request)
}

// unpackTimerToken is the inverse of pack. It accepts any number; handleTimer ignores unknown kinds.
func unpackTimerToken(packed uint64) timerToken {
	return timerToken{
		kind:    timerKind(packed >> timerKindShift),
		attempt: int(uint8(packed >> timerAttemptShift)),
		request: RequestID(uint32(packed)),
	}
}

// setTimer starts a timer that fires after delay seconds, or at once if delay is negative.
func (e *Engine) setTimer(delay float64, token timerToken) {
	e.emit(SetTimer{Delay: max(delay, 0), Token: token.pack(), Request: token.request})
}

// handleTimer handles a timer that has fired. A timer of a request or attempt that has ended has no effect.
func (e *Engine) handleTimer(token timerToken) {
	switch token.kind {
	case maintenanceTimer:
		e.runMaintenance()
	case pollEndpointsTimer:
		e.emit(PollEndpoints{})
	case slowAttemptTimer:
		e.slowAttemptTimerFired(token)
	case sendDeadlineTimer:
		e.sendDeadlineTimerFired(token)
	case answerDeadlineTimer:
		e.answerDeadlineTimerFired(token)
	}
}

// slowAttemptTimerFired handles an attempt that takes longer than almost all others. The backend's
// failure to respond is recorded even if the request is finished.
func (e *Engine) slowAttemptTimerFired(token timerToken) {
	req := e.requests[token.request]
	if req == nil || !req.attemptInFlight(token.attempt) {
		return
	}
	e.handleSlowAttempt(req, token.attempt)
}

// sendDeadlineTimerFired answers a request that has no attempt yet: an attempt that started now would end too
// late.
func (e *Engine) sendDeadlineTimerFired(token timerToken) {
	req := e.openRequest(token.request)
	if req == nil || req.streaming || len(req.attempts) > 0 {
		return
	}
	e.rejectOrFail(req, ReasonNotSent)
}

// answerDeadlineTimerFired answers a request for which no backend has responded in time.
func (e *Engine) answerDeadlineTimerFired(token timerToken) {
	req := e.openRequest(token.request)
	if req == nil || req.streaming {
		return
	}
	reason := ReasonNoAnswer
	if len(req.attempts) == 0 {
		reason = ReasonNotSent
	}
	e.rejectOrFail(req, reason)
}
