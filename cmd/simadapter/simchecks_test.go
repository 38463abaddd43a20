package main

import "slices"

// openRequest finds the request that an action names.
func (s *simulation) openRequest(g *simInstance, id uint32) *simRequest {
	req := s.requests[id]
	if req == nil || req.instance != g || !req.instanceRuns() {
		s.t.Fatalf("seed %d batch %d: an action names request %d, which instance %d does not hold",
			s.seed, s.batchSeq, id, g.number)
	}
	return req
}

func (s *simulation) violation(req *simRequest, what string) {
	s.t.Errorf("seed %d batch %d (%.3f s): request %d (%s %s): %s", s.seed, s.batchSeq, s.now, req.id, req.class.Idempotency,
		req.class.DedupeScope, what)
}

// mayExecuteTwice tells whether an attempt on b could be a second effect; without b, whether a claim that there
// was none, as Decline makes, could be wrong.
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
		return now > a.sentAt+req.class.DedupeWindowS || req.class.DedupeScope == "zone" && a.backend.zone != b.zone ||
			req.class.DedupeScope == "cell" && a.backend.cell != b.cell
	})
}

// checkSend holds the rules on a further attempt.
func (s *simulation) checkSend(req *simRequest, b *simBackend) {
	out := slices.ContainsFunc(req.attempts, func(a simAttempt) bool { return a.inFlight })
	for _, rule := range []struct {
		broken bool
		what   string
	}{
		{req.answered || req.ended && req.endedInBatch < s.batchSeq, "sent after its end"},
		{req.streamedAttempt > 0 && req.streamedInBatch < s.batchSeq, "sent after its stream had started"},
		{req.instance.knownEndpoints[b.id].state != stateReady, "sent to a backend that is not ready"},
		{len(req.attempts) >= s.settings.Capabilities.MaxAttempts, "more attempts than allowed"},
		{out && !s.settings.Capabilities.CanHedge, "two attempts out at once"},
		{req.mayExecuteTwice(b, s.now), "sent where a second effect is possible"},
	} {
		if rule.broken {
			s.violation(req, rule.what)
		}
	}
}

// checkFinalAnswer takes a final answer of the adapter. One that crosses the end of its request in the same batch is void.
func (s *simulation) checkFinalAnswer(req *simRequest, declined bool) {
	switch {
	case req.answered || req.ended && req.endedInBatch < s.batchSeq:
		s.violation(req, "a second final answer")
	case req.ended:
		return
	case req.streamedAttempt > 0 && req.streamedInBatch < s.batchSeq:
		s.violation(req, "answered after its stream had started")
	case s.now > req.deadline+s.settings.Requirements.AnswerSlackS:
		s.violation(req, "answered too late")
	case declined && req.mayExecuteTwice(nil, s.now):
		s.violation(req, "declined though it may have run")
	}
	req.ended, req.answered, req.endedInBatch = true, true, s.batchSeq
}
