package policy

import (
	"maps"
	"slices"
)

// beginShutdown limits the time of every request, open now or still to come, to the clock time answerBy: a
// gateway that ends has to answer all that it took before its process may be killed.
func (e *Engine) beginShutdown(answerBy float64) {
	e.shutdownAnswerBy = answerBy
	// By id, since the order of the actions must not depend on that of a map.
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		req := e.openRequest(id)
		if req != nil && e.applyShutdownDeadline(req) {
			e.setTimer(req.answerBy-e.now, timerToken{kind: answerDeadlineTimer, request: id})
		}
	}
}

// applyShutdownDeadline cuts the time of a request to what a shutdown leaves, and reports whether that is
// less than it had.
func (e *Engine) applyShutdownDeadline(req *request) bool {
	latest := e.shutdownAnswerBy - e.timingMargin()
	if e.shutdownAnswerBy == 0 || req.answerBy <= latest {
		return false
	}
	req.answerBy = latest
	return true
}
