package policy

// Kinds of timer, in the top byte of a token.
const (
	timerMaintenance    = iota
	timerSendDeadline   // a request that has not been sent is too late now
	timerAnswerDeadline // a request must be answered now
	timerPollEndpoints  // discovery failed a while ago
	timerSlowAttempt    // an attempt takes longer than usual
)

// setTimer asks for a timer of a kind, about an attempt of a request where it concerns one.
func (e *Engine) setTimer(delay float64, kind uint64, attempt int, id RequestID) {
	e.emit(SetTimer{Delay: max(delay, 0), Token: kind<<56 | uint64(attempt)<<32 | uint64(id), Request: id})
}

// fireTimer handles a timer.
func (e *Engine) fireTimer(token uint64) {
	req, n := e.requests[RequestID(uint32(token))], int(uint8(token>>32))
	switch kind := token >> 56; {
	case kind == timerMaintenance:
		e.runMaintenance()
	case kind == timerPollEndpoints:
		e.emit(PollEndpoints{})
	case req == nil:
	case kind == timerSlowAttempt && n < len(req.attempts) && !req.attempts[n].ended:
		e.hedgeOrRecordSlow(req, n)
	case req.finished || req.streaming:
	case (kind == timerSendDeadline || kind == timerAnswerDeadline) && len(req.attempts) == 0:
		e.answerWithout(req, ReasonNotSent)
	case kind == timerAnswerDeadline:
		e.answerWithout(req, ReasonNoAnswer)
	}
}
