package gateway

import "time"

// Parameters of the timeouts for polls of discovery. The values meet two requirements:
//
//  1. A change of the endpoint list arrives within 6 s after discovery has the change and can be reached, even if one
//     poll fails. The delay has three parts: the timeout of the failed poll, watchRetryDelay and the response
//     time of the next poll. The worst case is a gateway that has no endpoint list yet and has a long drain grace (see
//     newPollTimeouts): maxFirstListTimeout + watchRetryDelay + maxWatchResponseTime = 6 s.
//     TestMissedChangeArrivesInTime checks the sum.
//  2. After a failed poll, the next poll begins within 200 ms, because discovery forgets the watch after 200 ms.
//     Therefore watchRetryDelay is below 200 ms.
const (
	longPollShare        = 0.5                     // pollTimeouts.longPoll as a share of the drain grace
	responseTimeShare    = 0.25                    // pollTimeouts.response as a share of the drain grace
	minResponseTime      = 200 * time.Millisecond  // lower bound of pollTimeouts.response
	maxWatchResponseTime = 1400 * time.Millisecond // upper bound of pollTimeouts.response
	maxFirstListTimeout  = 4500 * time.Millisecond // upper bound of fullListTimeout while no list is in use
	watchRetryDelay      = 100 * time.Millisecond  // time between a failed poll and the next poll
)

// pollTimeouts holds the timeouts for polls of discovery.
type pollTimeouts struct {
	longPoll time.Duration // time that discovery may hold back the response to a watch while nothing changes
	response time.Duration // time that a response may take, not counting longPoll
}

// newPollTimeouts returns the timeouts for a gateway that may send requests to a backend for drainGrace, the drain
// grace, after the backend's drain began. A watch whose connection is dead, or that discovery forgot in an outage,
// does not report drains. Therefore each watch must end, and the next watch begin, well within drainGrace.
func newPollTimeouts(drainGrace time.Duration) pollTimeouts {
	response := min(max(time.Duration(responseTimeShare*float64(drainGrace)), minResponseTime), maxWatchResponseTime)
	return pollTimeouts{
		longPoll: time.Duration(longPollShare / responseTimeShare * float64(response)),
		response: response,
	}
}

// watchTimeout returns the timeout of a watch. The timeout covers the wait for a change and the response.
func (p pollTimeouts) watchTimeout() time.Duration { return p.longPoll + p.response }

// fullListTimeout returns the timeout of a poll for the full list. timeoutsInRow is the number of polls for the full
// list that have timed out in a row. Each of these polls doubles the timeout: with a fixed timeout, a list that takes
// longer than the timeout would never arrive. If the gateway already routes requests by an endpoint list (listInUse),
// the timeout is at most watchTimeout. Otherwise the timeout is at most the greater of watchTimeout and
// maxFirstListTimeout.
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
