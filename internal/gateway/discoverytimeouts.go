package gateway

import "time"

// How long polls of discovery may take. A gateway is required to know a change of the endpoint list within 6 s from when
// discovery has the change and can be reached, even if one poll fails. The timeout of a watch that gets no response,
// the retry delay and the response to the next poll must therefore add up to 6 s at most;
// TestMissedChangeArrivesInTime checks this.
const (
	longPollShare        = 0.5                     // pollTimeouts.longPoll as a share of the drain grace
	responseTimeShare    = 0.25                    // pollTimeouts.response as a share of the drain grace
	minResponseTime      = 200 * time.Millisecond  // lower bound of pollTimeouts.response
	maxWatchResponseTime = 1400 * time.Millisecond // upper bound of pollTimeouts.response
	maxFirstListTimeout  = 4500 * time.Millisecond // upper bound for a full list if no older list is in use
	watchRetryDelay      = 100 * time.Millisecond  // after a failed poll; discovery forgets a watch after 200 ms
)

// pollTimeouts holds the timeouts for polls of discovery.
type pollTimeouts struct {
	longPoll time.Duration // how long discovery may hold back the response to a watch while nothing changes
	response time.Duration // how long a response may take otherwise
}

// newPollTimeouts returns the timeouts for a gateway that may send requests to a draining backend for drainGrace after
// its drain began. A watch whose connection is dead, or that discovery forgot in an outage, does not report drains.
// Therefore each watch ends, and the next one begins, well within drainGrace.
func newPollTimeouts(drainGrace time.Duration) pollTimeouts {
	response := min(max(time.Duration(responseTimeShare*float64(drainGrace)), minResponseTime), maxWatchResponseTime)
	return pollTimeouts{
		longPoll: time.Duration(longPollShare / responseTimeShare * float64(response)),
		response: response,
	}
}

// watchTimeout returns the timeout of a watch, including its response.
func (p pollTimeouts) watchTimeout() time.Duration { return p.longPoll + p.response }

// fullListTimeout returns the timeout of a poll for the full list after timeoutsInRow such polls in a row have timed
// out. The timeout doubles each time, since a list that takes longer than a fixed timeout would never arrive. It is at
// most watchTimeout if requests are routed by an older list (listInUse), and else the greater of that and
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
