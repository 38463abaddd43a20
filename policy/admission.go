package policy

// Admission: a request is taken in with timers that see to its answer, waits in the queue of its level,
// and leaves it highest level first as the bound on work in flight allows.

import (
	"math"
	"slices"
)

// The bound on work in flight. Each value is a share or a count that holds for any deployment.
const (
	limitStart           = 4.0  // attempts a backend, shared among the gateways: high, cut soon if wrong
	limitFloor           = 3.0  // least attempts a backend: when all are slow, cores still need work
	limitCutFactor       = 0.75 // factor on the bound when latency nears the aim
	latencyRatioHigh     = 0.38 // mean latency, as a share of the aim, above which the bound shrinks
	latencyRatioLow      = 0.28 // and below which it may grow
	limitUtilization     = 0.8  // it grows only while this share of it is in use
	limitBurst           = 3.0  // a smaller limit holds for the mean over limitAveragingWindow
	limitAveragingWindow = 1.0  // seconds
	reserveShare         = 0.15 // part of the bound that only top levels may use
	topLevelShare        = 0.5  // levels worth at least this share of the highest are top
)

// requestArrived takes in a try. Two timers see to it that it is answered in time.
func (e *Engine) requestArrived(r Request) {
	c, p := &e.settings.Classes[r.Class], &e.settings.Plans[r.Plan]
	if r.SentAt == 0 {
		r.SentAt = e.now
	}
	req := &request{Request: r, class: c}
	req.level, _ = slices.BinarySearch(e.queue.weights, c.PriorityWeight*p.WeightFactor)
	req.answerBy = r.Deadline - 2*e.settings.Tick
	if c.LateWeightShare == 0 && c.ObjectivePerUnit == 0 {
		req.answerBy = min(req.answerBy, r.SentAt+c.LatencyObjective-e.elapsedBefore(r, c))
	}
	repeat := 0.0
	if r.IsRetry {
		repeat = 1
	}
	e.retries.clientShare += counterFailureGain * (repeat - e.retries.clientShare)
	e.requests[r.ID] = req
	e.queue.arrivalCounts[req.level]++
	who := e.customerFor(r)
	req.customer = who
	e.limitToShutdown(req)
	if req.answerBy < e.now+e.latency.mean/2 {
		e.answerWithout(req, ReasonTooLate)
		return
	}
	at := len(who.waiting)
	for at > 0 && who.waiting[at-1].level < req.level {
		at--
	}
	who.waiting = slices.Insert(who.waiting, at, req)
	e.admit(who)
	if req.finished {
		return // most refusals come at once, and timers for them would be as many as requests
	}
	e.setTimer(req.answerBy-e.now, timerAnswerDeadline, 0, r.ID)
	if len(req.attempts) == 0 {
		e.setTimer(req.answerBy-e.now-e.latency.mean, timerSendDeadline, 0, r.ID)
	}
}

// elapsedBefore is the time that the client has surely spent on earlier tries. Most tries of a class and
// plan are given the same patience; one that has another is cut to what is left of the client's whole
// patience. A repeat whose aim has passed earns nothing, yet takes units, a call and a backend's time from
// requests that may still earn; a fresh try must not be taken for one, so an unknown patience says nothing.
func (e *Engine) elapsedBefore(r Request, c *Class) float64 {
	left, usual := r.Deadline-r.SentAt, &e.clientTimeouts[r.Class*len(e.settings.Plans)+r.Plan]
	same := func(x float64) bool { return math.Abs(left-x) < 2*e.settings.Tick }
	if same(usual.latest) {
		usual.usual = left
	}
	usual.latest = left
	if usual.usual == 0 || same(usual.usual) {
		return 0
	}
	return max(c.Deadline-left, 0)
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

// atLimit tells whether a level has to wait: it may fill its part of the bound. Of many gateways, the bound
// of one is less than an attempt; then it is kept in the mean.
func (e *Engine) atLimit(level int) bool {
	room := e.limiter.limit
	if e.queue.weights[level] < topLevelShare*e.queue.weights[len(e.queue.weights)-1] {
		room *= 1 - reserveShare
	}
	return float64(e.limiter.inFlight) >= max(room, limitBurst) ||
		room < limitBurst && e.limiter.meanInFlight >= room
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

// adjustLimit moves the bound: down when latency nears the aim, at most once a round trip, and slowly up
// while it is in use and latency is low.
func (e *Engine) adjustLimit(ratio float64) {
	gain := min(max((e.now-e.limiter.latencyRatioAt)/limitAveragingWindow, 0.05), 0.3) // rare answers weigh more
	e.limiter.latencyRatioAt = e.now
	e.limiter.latencyRatio += gain * (min(ratio, 1) - e.limiter.latencyRatio)
	switch {
	case e.limiter.latencyRatio > latencyRatioHigh &&
		e.now-e.limiter.lastCut > max(e.latency.mean, e.settings.Tick):
		e.limiter.limit = max(e.limiter.limit*limitCutFactor, e.minLimit())
		e.limiter.lastCut = e.now
	case e.limiter.latencyRatio < latencyRatioLow &&
		max(float64(e.limiter.inFlight), e.limiter.meanInFlight) >= limitUtilization*e.limiter.limit:
		e.limiter.limit += min(1, e.backendsPerGateway()) / max(e.limiter.limit, 1)
	}
}

func (e *Engine) minLimit() float64 { return limitFloor * e.backendsPerGateway() }

// backendsPerGateway is how many backends there are for each gateway.
func (g *Engine) backendsPerGateway() float64 {
	return float64(len(g.backends.ordered)) / float64(max(g.settings.FleetSize, 1))
}
