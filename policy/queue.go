package policy

// priorityQueue holds admitted requests until the concurrency limit lets them go. Its slices are indexed by
// level; a higher level is served first.
type priorityQueue struct {
	requests      [][]*request // each level in order of arrival
	weights       []float64    // the priority weight that makes a level, ascending
	arrivalRates  []float64    // requests a second
	arrivalCounts []float64    // requests since the last maintenance
}

// enqueue puts a paid request in the queue of its level, unless the wait would outlast its aim: Wh <= X /
// (1 - X*Ah), X being the time in which the bound frees a place and Ah the arrivals of higher levels.
func (e *Engine) enqueue(req *request) {
	x := e.latency.mean / max(e.limiter.limit, 1e-3)
	ahead, higher := 1+float64(len(e.queue.requests[req.level])), 0.0
	for l := req.level + 1; l < len(e.queue.requests); l++ {
		ahead += float64(len(e.queue.requests[l]))
		higher += e.queue.arrivalRates[l]
	}
	if e.atLimit(req.level) && ahead*x >= (req.answerBy-e.now-e.latency.mean)*max(1-x*higher, 0) {
		e.answerWithout(req, ReasonQueue)
		return
	}
	e.queue.requests[req.level] = append(e.queue.requests[req.level], req)
}

// dispatch releases held requests, highest level first.
func (e *Engine) dispatch() {
	for l := len(e.queue.requests) - 1; l >= 0; l-- {
		for len(e.queue.requests[l]) > 0 {
			req := e.queue.requests[l][0]
			if !req.finished {
				if e.atLimit(l) {
					return
				}
				b := e.pick(req)
				if b == nil {
					break
				}
				e.send(req, b)
			}
			e.queue.requests[l] = e.queue.requests[l][1:]
		}
	}
}

// isTopLevel reports whether requests of a level may use the reserve of the concurrency limit.
func (q *priorityQueue) isTopLevel(level int) bool {
	highest := q.weights[len(q.weights)-1]
	return q.weights[level] >= topLevelShare*highest
}
