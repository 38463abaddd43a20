package gateway

import "time"

// Bounds of the polls of discovery. A change counts as known to a gateway 6 s after discovery had it and
// could be reached, whatever becomes of one poll. A silent watch, the delay after it and the answer to the
// next one must therefore fit in 6 s; TestMissedChangeArrivesInTime adds them up.
const (
	longPollShare        = 0.5                     // share of the drain grace for which a watch stays open
	responseTimeShare    = 0.25                    // share of the drain grace that an answer may take beside
	minResponseTime      = 200 * time.Millisecond  // the lower bound of an answer's time
	maxWatchResponseTime = 1400 * time.Millisecond // and its upper bound
	maxFirstListTimeout  = 4500 * time.Millisecond // for a full list while no older one is in use
	watchRetryDelay      = 100 * time.Millisecond  // delay after a failed poll: discovery forgets a watch after 200 ms
)

// pollTimeouts bound the polls of discovery.
type pollTimeouts struct {
	longPoll time.Duration // how long discovery may keep a watch open without a change
	response time.Duration // how long an answer may take beside
}

// newPollTimeouts computes the bounds for a gateway that may go on sending to a draining backend for
// drainGrace. A watch that has fallen silent, or that discovery forgot while it was down, misses drains
// that count as known. So each watch is over, and the next on its way, well within the grace.
func newPollTimeouts(drainGrace time.Duration) pollTimeouts {
	response := min(max(time.Duration(responseTimeShare*float64(drainGrace)), minResponseTime), maxWatchResponseTime)
	return pollTimeouts{
		longPoll: time.Duration(longPollShare / responseTimeShare * float64(response)),
		response: response,
	}
}

// watchTimeout bounds a watch with its answer.
func (p pollTimeouts) watchTimeout() time.Duration { return p.longPoll + p.response }

// fullListTimeout bounds a poll for the full list after a number of them, in a row, that timed out. Each time-out
// doubles the bound: a list that is always cut off would never arrive. While requests are routed by an
// older list (listInUse), no poll may outlast a watch.
func (p pollTimeouts) fullListTimeout(timeoutsInRow int, listInUse bool) time.Duration {
	maxTimeout := p.watchTimeout()
	if !listInUse {
		maxTimeout = max(maxTimeout, maxFirstListTimeout)
	}
	timeout := p.response
	for n := 0; n < timeoutsInRow && timeout < maxTimeout; n++ {
		timeout *= 2
	}
	return min(timeout, maxTimeout)
}
