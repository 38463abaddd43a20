package main

import "slices"

// reportViolation reports a rule that was broken for a request.
func (s *simulation) reportViolation(req *simRequest, rule string) {
	s.t.Errorf("seed %d batch %d (%.3f s): request %d (%s %s): %s", s.seed, s.batchSeq, s.now, req.id, req.class.Idempotency,
		req.class.DedupeScope, rule)
}

// openRequest returns the request that an action names, and fails the test unless the instance got it in
// its present incarnation.
func (s *simulation) openRequest(inst *simInstance, id uint32) *simRequest {
	req := s.requests[id]
	if req == nil || req.instance != inst || !req.incarnationRuns() {
		s.t.Fatalf("seed %d batch %d: an action names request %d, which instance %d does not hold",
			s.seed, s.batchSeq, id, inst.number)
	}
	return req
}

// mayExecuteTwice reports whether an attempt at backend b could have a second effect. Without a backend it
// reports whether the claim of a rejection, that a retry is harmless, could be wrong.
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

// checkAttempt checks the rules on a new attempt of a request at a backend.
func (s *simulation) checkAttempt(req *simRequest, b *simBackend) {
	inFlight := slices.ContainsFunc(req.attempts, func(a simAttempt) bool { return a.inFlight })
	for _, rule := range []struct {
		broken bool
		what   string
	}{
		{req.answered || req.endedBefore(s.batchSeq), "attempt after its end"},
		{req.streamedBefore(s.batchSeq), "attempt after its response had started"},
		{req.instance.knownEndpoints[b.id].state != stateReady, "attempt at a backend that is not ready"},
		{len(req.attempts) >= s.settings.Capabilities.MaxAttempts, "more attempts than allowed"},
		{inFlight && !s.settings.Capabilities.CanHedge, "two attempts in flight at once"},
		{req.mayExecuteTwice(b, s.now), "attempt where a second effect is possible"},
	} {
		if rule.broken {
			s.reportViolation(req, rule.what)
		}
	}
}

// expectFinalAnswer checks after the deadline that a request has ended.
func (s *simulation) expectFinalAnswer(req *simRequest) {
	s.after(req.deadline+s.settings.Requirements.AnswerSlackS+s.settings.TickS-s.now, func() {
		if req.incarnationRuns() && !req.ended && req.streamedAttempt == 0 {
			s.reportViolation(req, "no final answer")
		}
	})
}

// handleFinalAnswer checks the rules on a final answer of the adapter and ends the request. An answer that
// crosses the end of its request in the same batch is void.
func (s *simulation) handleFinalAnswer(req *simRequest, rejected bool) {
	if rule := s.finalAnswerViolation(req, rejected); rule != "" {
		s.reportViolation(req, rule)
	} else if req.ended {
		return
	}
	req.answered = true
	req.end(s.batchSeq)
}

// finalAnswerViolation returns the rule that a final answer breaks, or "".
func (s *simulation) finalAnswerViolation(req *simRequest, rejected bool) string {
	switch {
	case req.answered || req.endedBefore(s.batchSeq):
		return "a second final answer"
	case req.ended:
		return ""
	case req.streamedBefore(s.batchSeq):
		return "answered after its response had started"
	case s.now > req.deadline+s.settings.Requirements.AnswerSlackS:
		return "answered too late"
	case rejected && req.mayExecuteTwice(nil, s.now):
		return "rejected though it may have executed"
	}
	return ""
}
