package policy

import "slices"

// minLimitForWait is the least limit, in attempts, that an expected wait is worked out with: the wait is
// divided by it, and before the first backend is known the limit is 0.
const minLimitForWait = 1e-3

// priorityQueue holds admitted requests until the concurrency limit lets them go. Its slices are indexed by
// level; a higher level is served first. Level 0 is for requests beyond the quota.
type priorityQueue struct {
	requests      [][]*request // each level in order of arrival
	weights       []float64    // the priority weight that makes a level, ascending
	arrivalRates  []float64    // requests a second
	arrivalCounts []float64    // requests since the last maintenance
}

// newPriorityQueue returns an empty queue with a level for each priority weight that the settings can give a
// request.
func newPriorityQueue(settings *Settings) priorityQueue {
	weights := []float64{0} // level 0: beyond the quota
	for _, class := range settings.Classes {
		for _, plan := range settings.Plans {
			weights = append(weights, class.PriorityWeight*plan.WeightFactor)
		}
	}
	slices.Sort(weights)
	weights = slices.Compact(weights)
	return priorityQueue{
		requests:      make([][]*request, len(weights)),
		weights:       weights,
		arrivalRates:  make([]float64, len(weights)),
		arrivalCounts: make([]float64, len(weights)),
	}
}

// levelOf returns the level of requests of a class and plan within the quota.
func (q *priorityQueue) levelOf(class *Class, plan *Plan) int {
	level, _ := slices.BinarySearch(q.weights, class.PriorityWeight*plan.WeightFactor)
	return level
}

// highestLevel returns the number of the highest level.
func (q *priorityQueue) highestLevel() int { return len(q.weights) - 1 }

// isTopLevel reports whether requests of a level may use the reserve of the concurrency limit.
func (q *priorityQueue) isTopLevel(level int) bool {
	return q.weights[level] >= topLevelWeightShare*q.weights[q.highestLevel()]
}

// updateArrivalRates gives the arrivals since the last update, elapsed seconds ago, the weight gain in the
// rates.
func (q *priorityQueue) updateArrivalRates(elapsed, gain float64) {
	for level := range q.arrivalRates {
		rate := q.arrivalCounts[level] / elapsed
		q.arrivalRates[level] += gain * (rate - q.arrivalRates[level])
		q.arrivalCounts[level] = 0
	}
}

// enqueue puts an admitted request in the queue of its level, unless it would wait there for too long.
func (e *Engine) enqueue(req *request) {
	if e.atLimit(req.level) && e.wouldWaitTooLong(req) {
		e.answerWithout(req, ReasonQueue)
		return
	}
	e.queue.requests[req.level] = append(e.queue.requests[req.level], req)
}

// wouldWaitTooLong reports whether the wait in the queue would outlast the time that a request has until it
// must be sent. A request waits for the requests ahead of it and for those of higher levels that arrive
// meanwhile: X * ahead / (1 - X*higher), X being the seconds in which the concurrency limit lets one attempt
// begin and higher the arrivals of higher levels a second.
func (e *Engine) wouldWaitTooLong(req *request) bool {
	secondsPerAttempt := e.latency.mean / max(e.limiter.limit, minLimitForWait)
	ahead := 1 + float64(len(e.queue.requests[req.level]))
	higherRate := 0.0
	for level := req.level + 1; level < len(e.queue.requests); level++ {
		ahead += float64(len(e.queue.requests[level]))
		higherRate += e.queue.arrivalRates[level]
	}
	remaining := req.answerBy - e.now - e.latency.mean
	return ahead*secondsPerAttempt >= remaining*max(1-secondsPerAttempt*higherRate, 0)
}

// dispatch sends queued requests, highest level first, until the concurrency limit is reached.
func (e *Engine) dispatch() {
	for level := e.queue.highestLevel(); level >= 0; level-- {
		if len(e.queue.requests[level]) > 0 && !e.dispatchLevel(level) {
			return
		}
	}
}

// dispatchLevel sends the queued requests of a level in order of arrival, and reports whether lower levels
// may follow: not once the concurrency limit is reached, but they may where no backend is usable for the
// first request of this one.
func (e *Engine) dispatchLevel(level int) bool {
	for len(e.queue.requests[level]) > 0 {
		req := e.queue.requests[level][0]
		if !req.finished {
			if e.atLimit(level) {
				return false
			}
			b := e.pick(req)
			if b == nil {
				return true
			}
			e.send(req, b)
		}
		e.queue.requests[level] = e.queue.requests[level][1:]
	}
	return true
}
