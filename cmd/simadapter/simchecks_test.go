package main

import "slices"

// reportViolation fails the test because the adapter's actions for a request break a rule.
func (s *simulation) reportViolation(req *simRequest, rule string) {
	s.t.Errorf("seed %d batch %d (%.3f s): request %d (%s %s): %s", s.seed, s.batchSeq, s.now, req.id,
		req.class.Idempotency, req.class.DedupeScope, rule)
}

// openRequest returns the request that an action names. It fails the test unless the request was sent to the
// current incarnation of the instance.
func (s *simulation) openRequest(inst *simInstance, id uint32) *simRequest {
	req := s.requests[id]
	if req == nil || req.instance != inst || !req.incarnationRuns() {
		s.t.Fatalf("seed %d batch %d: an action names request %d, which instance %d has not received",
			s.seed, s.batchSeq, id, inst.number)
	}
	return req
}

// mayExecuteTwice reports whether a further attempt at backend b could execute the request a second time. If b is nil,
// it reports whether the client's retry of a rejected request could execute the request a second time.
func (req *simRequest) mayExecuteTwice(b *simBackend, now float64) bool {
	return slices.ContainsFunc(req.attempts, func(a simAttempt) bool {
		switch {
		case !a.mayHaveExecuted || req.class.Idempotency == "repeatable":
			return false
		case req.class.Idempotency == "once":
			return true
		case b == nil:
			return req.class.DedupeScope != "all"
		}
		return now > a.sentAt+req.class.DedupeWindowS ||
			req.class.DedupeScope == "zone" && a.backend.zone != b.zone ||
			req.class.DedupeScope == "cell" && a.backend.cell != b.cell
	})
}

// checkAttempt checks a new attempt of a request at a backend against the rules for attempts.
func (s *simulation) checkAttempt(req *simRequest, b *simBackend) {
	inFlight := slices.ContainsFunc(req.attempts, func(a simAttempt) bool { return a.inFlight })
	for _, rule := range []struct {
		broken bool
		what   string
	}{
		{req.answered || req.endedBefore(s.batchSeq), "attempt after the end of the request"},
		{req.streamedBefore(s.batchSeq), "attempt after the response had started"},
		{req.instance.knownEndpoints[b.id].state != stateReady, "attempt at a backend that is not ready"},
		{len(req.attempts) >= s.settings.Capabilities.MaxAttempts, "more attempts than allowed"},
		{inFlight && !s.settings.Capabilities.CanHedge, "two attempts in flight at once"},
		{req.mayExecuteTwice(b, s.now), "attempt that may execute the request a second time"},
	} {
		if rule.broken {
			s.reportViolation(req, rule.what)
		}
	}
}

// expectFinalAnswer schedules a check at the request's deadline plus the answer slack and one tick. By that time, the
// request must have ended or its response must have started.
func (s *simulation) expectFinalAnswer(req *simRequest) {
	s.after(req.deadline+s.settings.Requirements.AnswerSlackS+s.settings.TickS-s.now, func() {
		if req.incarnationRuns() && !req.ended && req.streamedAttempt == 0 {
			s.reportViolation(req, "no final answer")
		}
	})
}

// handleFinalAnswer checks a final answer of the adapter against the rules for answers and ends the request. It
// ignores a permitted answer to a request that has ended in the same batch.
func (s *simulation) handleFinalAnswer(req *simRequest, rejected bool) {
	if rule := s.finalAnswerViolation(req, rejected); rule != "" {
		s.reportViolation(req, rule)
	} else if req.ended {
		return
	}
	req.answered = true
	req.end(s.batchSeq)
}

// finalAnswerViolation describes how a final answer breaks the rules. It returns "" if the answer is allowed.
func (s *simulation) finalAnswerViolation(req *simRequest, rejected bool) string {
	switch {
	case req.answered || req.endedBefore(s.batchSeq):
		return "a second final answer"
	case req.ended:
		return ""
	case req.streamedBefore(s.batchSeq):
		return "final answer after the response had started"
	case s.now > req.deadline+s.settings.Requirements.AnswerSlackS:
		return "final answer too late"
	case rejected && req.mayExecuteTwice(nil, s.now):
		return "rejection though a retry may execute the request a second time"
	}
	return ""
}
