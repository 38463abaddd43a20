package policy

import (
	"maps"
	"slices"
)

// beginShutdown limits the time of every request, open now or still to come, to the clock time answerBy: a
// gateway that shuts down has to answer all its requests before its process may be killed.
func (e *Engine) beginShutdown(answerBy float64) {
	e.shutdownAnswerBy = answerBy
	// Sorted, so that the order of the actions doesn't depend on the iteration order of a map.
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		req := e.openRequest(id)
		if req != nil && e.applyShutdownDeadline(req) {
			e.setTimer(req.answerBy-e.now, timerToken{kind: answerDeadlineTimer, request: id})
		}
	}
}

// applyShutdownDeadline limits the request's answerBy to the deadline of the shutdown, if one has begun, and
// reports whether that changed it.
func (e *Engine) applyShutdownDeadline(req *request) bool {
	latest := e.shutdownAnswerBy - e.timingMargin()
	if e.shutdownAnswerBy == 0 || req.answerBy <= latest {
		return false
	}
	req.answerBy = latest
	return true
}
