package policy

// timerKind says what a timer is for.
type timerKind uint8

// The kinds of timer.
const (
	maintenanceTimer    timerKind = iota // the next round of maintenance is due
	sendDeadlineTimer                    // a request that has not been sent is too late now
	answerDeadlineTimer                  // a request must be answered now
	pollEndpointsTimer                   // discovery failed a while ago
	slowAttemptTimer                     // an attempt takes longer than usual
)

// timerToken is what a timer carries from SetTimer to TimerFired. Attempt and request 0 stand for none.
type timerToken struct {
	kind    timerKind
	attempt int // number of the attempt in its request, below 256
	request RequestID
}

// Positions in a packed token: the kind in the top byte, the attempt in the low byte of the upper half, the
// request in the lower half.
const (
	timerKindShift    = 56
	timerAttemptShift = 32
)

// pack returns the token as the number that SetTimer carries.
func (t timerToken) pack() uint64 {
	return uint64(t.kind)<<timerKindShift | uint64(t.attempt)<<timerAttemptShift | uint64(t.request)
}

// unpackTimerToken is the inverse of pack. Any number unpacks; an unknown kind has no handler.
func unpackTimerToken(packed uint64) timerToken {
	return timerToken{
		kind:    timerKind(packed >> timerKindShift),
		attempt: int(uint8(packed >> timerAttemptShift)),
		request: RequestID(uint32(packed)),
	}
}

// setTimer emits a timer that fires after delay seconds, at once where that is negative.
func (e *Engine) setTimer(delay float64, token timerToken) {
	e.emit(SetTimer{Delay: max(delay, 0), Token: token.pack(), Request: token.request})
}

// handleTimer handles a timer that is due. One whose subject is over by now does nothing.
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

// slowAttemptTimerFired handles an attempt that takes longer than usual. Its request may be over: the
// silence of its backend counts all the same.
func (e *Engine) slowAttemptTimerFired(token timerToken) {
	req := e.requests[token.request]
	if req == nil || !req.attemptInFlight(token.attempt) {
		return
	}
	e.handleSlowAttempt(req, token.attempt)
}

// sendDeadlineTimerFired answers a request of which no attempt has begun: one that began now would end too
// late.
func (e *Engine) sendDeadlineTimerFired(token timerToken) {
	req := e.openRequest(token.request)
	if req == nil || req.streaming || len(req.attempts) > 0 {
		return
	}
	e.answerWithout(req, ReasonNotSent)
}

// answerDeadlineTimerFired answers a request that no backend has answered yet.
func (e *Engine) answerDeadlineTimerFired(token timerToken) {
	req := e.openRequest(token.request)
	if req == nil || req.streaming {
		return
	}
	reason := ReasonNoAnswer
	if len(req.attempts) == 0 {
		reason = ReasonNotSent
	}
	e.answerWithout(req, reason)
}
