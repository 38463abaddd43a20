package gateway

import "time"

// Parameters of the times of calls to discovery. All times are computed from maxChangeDelay, slowResponseTime and the
// drain grace. The values meet these requirements, which TestIntervalsOfCallsMeetTheirBounds checks for each drain grace:
//
//  1. A change of the endpoint list arrives within maxChangeDelay after discovery has the change and can be reached, even
//     if one call gets no response and the response to the next call takes slowResponseTime: maxCallInterval +
//     slowResponseTime < maxChangeDelay.
//  2. If the response to the call before does not have the change yet and is slow as well, the change still arrives within
//     maxChangeDelay, or within maxChangeDelay and the drain grace if the drain grace is longer than 2.5 s:
//     maxSlowCallInterval + 2*slowResponseTime < maxChangeDelay.
//  3. A watch whose connection is dead, or that discovery forgot in an outage, does not report drains. While discovery
//     responds in time, the next call begins well within the drain grace.
//  4. A call is not given up before a slow response can arrive, however many calls get no response (see maxCalls).
//  5. After a failed call, the next call begins within 200 ms, because discovery forgets the watch after 200 ms.
//     Therefore watchRetryDelay is below 200 ms.
const (
	maxChangeDelay   = 6 * time.Second        // the protocol's limit for the arrival of a change
	slowResponseTime = 2 * time.Second        // longest response with which changes arrive in time, not counting longPoll
	callTimeMargin   = 200 * time.Millisecond // for connecting, for the transfer and for delays of the process

	maxCallInterval     = maxChangeDelay - slowResponseTime - callTimeMargin
	maxSlowCallInterval = maxChangeDelay - 2*slowResponseTime - callTimeMargin

	longPollShare     = 0.5                     // pollTimeouts.longPoll as a share of the drain grace
	responseTimeShare = 0.25                    // pollTimeouts.response as a share of the drain grace
	minResponseTime   = 200 * time.Millisecond  // lower bound of pollTimeouts.response
	maxLongPoll       = 2800 * time.Millisecond // upper bound of pollTimeouts.longPoll
	patienceFactor    = 1.25                    // time allowed for a response, as a multiple of the last response time
	maxCallTime       = 30 * time.Second        // time after which any call is given up
	bodyStallTimeout  = slowResponseTime        // time without a byte of a body after which its call is given up

	watchRetryDelay = 100 * time.Millisecond // time between a failed call and the next call
	maxRetryBackoff = 6                      // number of times that watchRetryDelay is doubled at most
)

// pollTimeouts holds the times that follow from the drain grace.
type pollTimeouts struct {
	longPoll time.Duration // time that discovery may hold back the response to a watch while nothing changes
	response time.Duration // time that a response may take, not counting longPoll, before a further call begins
}

// newPollTimeouts returns the times for a gateway that may send requests to a backend for drainGrace, the drain grace,
// after the backend's drain began.
func newPollTimeouts(drainGrace time.Duration) pollTimeouts {
	response := max(time.Duration(responseTimeShare*float64(drainGrace)), minResponseTime)
	longPoll := min(time.Duration(longPollShare/responseTimeShare*float64(response)), maxLongPoll)
	return pollTimeouts{longPoll: longPoll, response: min(response, maxCallInterval-longPoll)}
}

// watchInterval returns the time from the beginning of a watch without a response to the beginning of the next one.
// While discovery responds slowly, the interval is longer, up to maxSlowCallInterval, so that slow responses don't
// cause needless calls.
func (p pollTimeouts) watchInterval(pace responsePace) time.Duration {
	usual := p.longPoll + p.response
	return max(usual, min(p.longPoll+pace.allowance(), maxSlowCallInterval))
}

// fullListInterval returns the time from the beginning of a call for the full list to the beginning of the next one.
// unanswered is the number of calls that have been added so far because earlier ones had no response yet. Each doubles
// the interval, so that a discovery service that is overloaded by a starting fleet gets fewer calls. The interval is at
// most watchInterval if the gateway already routes requests by an endpoint list (listInUse), else maxCallInterval.
func (p pollTimeouts) fullListInterval(unanswered int, listInUse bool, pace responsePace) time.Duration {
	longest := maxCallInterval
	if listInUse {
		longest = p.watchInterval(pace)
	}
	interval := max(p.response, pace.allowance())
	for n := 0; n < unanswered && interval < longest; n++ {
		interval *= 2
	}
	return min(interval, longest)
}

// maxCalls returns the largest number of calls that may be open at once. If a further call is due, the call after the
// oldest one gives way. It has lasted for maxCalls-1 intervals by then, enough for a slow response. The oldest call
// may last for maxCallTime, so that even slower responses arrive, only less often.
func (p pollTimeouts) maxCalls() int {
	slowest := p.longPoll + slowResponseTime + callTimeMargin
	interval := p.watchInterval(responsePace{})
	return 1 + int((slowest+interval-1)/interval)
}

// responsePace is the time that discovery takes for a response, not counting the time that it waits for a change. It
// follows the last response alone, so that one slow response does not delay calls for long. The zero value is the pace
// of a discovery service that responds at once.
type responsePace struct {
	responseTime time.Duration
}

// observeWatch records that a watch with the given longPoll got its response after elapsed. If the response has changes
// (changed), discovery has waited for an unknown part of longPoll. The response time then is at least elapsed - longPoll
// and at most elapsed.
func (p *responsePace) observeWatch(elapsed, longPoll time.Duration, changed bool) {
	shortest := max(elapsed-longPoll, 0)
	if !changed {
		p.responseTime = shortest
		return
	}
	p.responseTime = min(max(p.responseTime, shortest), elapsed)
}

// observeFullList records that a call for the full list got its response after elapsed. A full list takes longer than
// the response to a watch, so it only shows that discovery is quicker than estimated.
func (p *responsePace) observeFullList(elapsed time.Duration) {
	p.responseTime = min(p.responseTime, elapsed)
}

// allowance returns the time that a response may take before a further call begins.
func (p responsePace) allowance() time.Duration {
	return time.Duration(patienceFactor * float64(p.responseTime))
}
