package policy

import "slices"

// minLimitForWait is the lowest concurrency limit, in attempts, with which the expected wait is computed. The
// wait is divided by the limit, which is 0 until the first backend is known.
const minLimitForWait = 1e-3

// The lowest levels. Requests of the other levels are within their quota.
const (
	presumedLateLevel = iota // answers presumably earn nothing, see presumeUsefulTime
	overQuotaLevel
)

// priorityQueue holds admitted requests until the concurrency limit allows an attempt. Above the two lowest
// levels, there is one level for each weight that a request can have (see Class), in ascending order. Higher
// levels are served first. The slices are indexed by level.
type priorityQueue struct {
	requests      [][]*request // queued requests of each level, in order of admission
	weights       []float64    // weight of the level's requests
	arrivalRates  []float64    // requests per second; mean over rateAveragingTime
	arrivalCounts []float64    // requests that arrived since the last maintenance
}

// newPriorityQueue returns an empty queue with the levels that result from the settings.
func newPriorityQueue(settings *Settings) priorityQueue {
	weights := []float64{presumedLateLevel: -1, overQuotaLevel: 0} // below all weights of the settings
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

// levelOf returns the level of requests of a class and plan that are within the quota.
func (q *priorityQueue) levelOf(class *Class, plan *Plan) int {
	level, _ := slices.BinarySearch(q.weights, class.PriorityWeight*plan.WeightFactor)
	return level
}

// highestLevel returns the highest level.
func (q *priorityQueue) highestLevel() int { return len(q.weights) - 1 }

// isTopLevel reports whether a level is a top level, whose requests may use the reserve of the concurrency
// limit.
func (q *priorityQueue) isTopLevel(level int) bool {
	return q.weights[level] >= topLevelWeightShare*q.weights[q.highestLevel()]
}

// limitShare returns the share of the concurrency limit that requests of a level may use.
func (q *priorityQueue) limitShare(level int) float64 {
	switch {
	case q.isTopLevel(level):
		return 1
	case level == presumedLateLevel:
		return presumedLateLimitShare
	}
	return 1 - reserveShare
}

// updateArrivalRates updates the mean arrival rates from the arrivals since the last update, and resets the
// counts of arrivals. elapsed is the time since the last update in seconds; gain is the weight of the new
// rates in the means.
func (q *priorityQueue) updateArrivalRates(elapsed, gain float64) {
	for level := range q.arrivalRates {
		rate := q.arrivalCounts[level] / elapsed
		q.arrivalRates[level] += gain * (rate - q.arrivalRates[level])
		q.arrivalCounts[level] = 0
	}
}

// enqueue adds an admitted request to the queue of its level, or rejects the request if it would wait there
// for too long. A request that would wait for longer than its answer is presumably useful gets the lowest
// level, so that it does not hold up others.
func (e *Engine) enqueue(req *request) {
	if req.usefulUntil < req.answerBy && e.cannotBeSentFor(req, req.usefulUntil) {
		req.level = presumedLateLevel
	}
	if e.cannotBeSentFor(req, req.answerBy) {
		e.rejectOrFail(req, ReasonQueue)
		return
	}
	e.queue.requests[req.level] = append(e.queue.requests[req.level], req)
}

// cannotBeSentFor reports whether a request would have to wait in the queue, and for too long for an answer
// by the clock time answerBy.
func (e *Engine) cannotBeSentFor(req *request, answerBy float64) bool {
	return e.atLimit(req.level) && e.wouldWaitTooLong(req, answerBy)
}

// wouldWaitTooLong reports whether the expected wait in the queue exceeds the time until the request must be
// sent for an answer by the clock time answerBy. A request waits for the queued requests of its level and of
// higher levels, and for requests of higher levels that arrive during the wait. The expected wait in seconds
// is ahead*secondsPerAttempt / (1 - secondsPerAttempt*higherRate), in which:
//   - ahead is the number of queued requests that the request waits for, plus 1 for the request itself,
//   - secondsPerAttempt is the average time between two attempts that the concurrency limit allows, and
//   - higherRate is the number of requests per second that arrive at higher levels.
func (e *Engine) wouldWaitTooLong(req *request, answerBy float64) bool {
	secondsPerAttempt := e.latency.mean / max(e.limiter.limit, minLimitForWait)
	ahead := 1 + float64(len(e.queue.requests[req.level]))
	higherRate := 0.0
	for level := req.level + 1; level < len(e.queue.requests); level++ {
		ahead += float64(len(e.queue.requests[level]))
		higherRate += e.queue.arrivalRates[level]
	}
	remaining := answerBy - e.now - e.latency.mean
	return ahead*secondsPerAttempt >= remaining*max(1-secondsPerAttempt*higherRate, 0)
}

// dispatch sends queued requests, starting at the highest level, until the concurrency limit is reached.
func (e *Engine) dispatch() {
	for level := e.queue.highestLevel(); level >= 0; level-- {
		if len(e.queue.requests[level]) > 0 && !e.dispatchLevel(level) {
			return
		}
	}
}

// dispatchLevel sends the queued requests of a level in order of admission, and reports whether lower levels
// may be dispatched too. It returns false if the concurrency limit is reached. It returns true if no request
// is left, or if no backend is usable for the first queued request.
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
