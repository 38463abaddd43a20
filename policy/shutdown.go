package policy

import (
	"maps"
	"slices"
)

// beginShutdown makes the clock time answerBy a deadline for every open request, and for every request that
// arrives later. A gateway that shuts down has to answer all its requests before its process may be killed.
func (e *Engine) beginShutdown(answerBy float64) {
	e.shutdownAnswerBy = answerBy
	// The requests are sorted, so that the order of the actions doesn't depend on the iteration order of a map.
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		req := e.openRequest(id)
		if req != nil && e.applyShutdownDeadline(req) {
			e.setTimer(req.answerBy-e.now, timerToken{kind: answerDeadlineTimer, request: id})
		}
	}
}

// applyShutdownDeadline limits the request's answerBy to timingMargin before the deadline of the shutdown, if
// a shutdown has begun. It reports whether answerBy has changed.
func (e *Engine) applyShutdownDeadline(req *request) bool {
	latest := e.shutdownAnswerBy - e.timingMargin()
	if e.shutdownAnswerBy == 0 || req.answerBy <= latest {
		return false
	}
	req.answerBy = latest
	return true
}
