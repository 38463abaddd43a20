package policy

import (
	"maps"
	"slices"
)

// beginShutdown bounds the time of every request, now and later: a gateway that ends has to answer all that
// it took before its process may be killed.
func (e *Engine) beginShutdown(by float64) {
	e.shutdownAnswerBy = by
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		if req := e.requests[id]; !req.finished && e.limitToShutdown(req) {
			e.setTimer(req.answerBy-e.now, timerToken{kind: answerDeadlineTimer, request: id})
		}
	}
}

// limitToShutdown cuts the time of a request to what a stop leaves, and tells whether that is less than it
// had.
func (e *Engine) limitToShutdown(req *request) bool {
	last := e.shutdownAnswerBy - e.timingMargin()
	if e.shutdownAnswerBy == 0 || req.answerBy <= last {
		return false
	}
	req.answerBy = last
	return true
}
