package hollow

import (
	"net/http"
	"time"

	"amberlb/policy"
)

// defaultRetryAfter is the time before a client's retry if the rejection had no Retry-After.
const defaultRetryAfter = 50 * time.Millisecond

// attempt is a request as a client sends it to one gateway. A retry by the client is another attempt.
type attempt struct {
	customer     *customer
	id           string
	gatewayIndex int       // index of the gateway in the customer's subset
	due          time.Time // due time of the request's first attempt
	measured     bool      // the attempt is counted in the result
	isRetry      bool
	done         func() // called when the client has its final answer
}

// send submits an attempt to its gateway.
func (g *groupLoad) send(a attempt) {
	request := policy.Request{
		Customer:     a.customer.id,
		Plan:         g.Plan,
		Class:        g.Class,
		Units:        g.Units,
		FirstGateway: g.First + a.customer.firstGateway,
		Gateways:     g.Spread,
		Deadline:     (g.deadline - time.Since(a.due)).Seconds(),
		IsRetry:      a.isRetry,
	}
	target := g.gateways[a.customer.firstGateway+a.gatewayIndex]
	onForwarded := func() { g.onForwarded(a) }
	onAnswer := func(status int, retryAfter float64) { g.onAnswer(a, status, seconds(retryAfter)) }
	target.Submit(request, a.id, onForwarded, onAnswer)
}

// onForwarded charges an attempt to the customer's quota, and counts the attempt if it is over quota.
func (g *groupLoad) onForwarded(a attempt) {
	withinQuota := a.customer.bucket.Take(time.Since(g.startedAt), g.Units)
	if !withinQuota && a.measured {
		g.updateResult(func(r *GroupResult) { r.Beyond++ })
	}
}

// onAnswer counts an answered attempt. If the client retries, onAnswer schedules the retry, otherwise it calls done.
func (g *groupLoad) onAnswer(a attempt, status int, retryAfter time.Duration) {
	if a.measured {
		g.countAnswer(a, status)
	}
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	retryInTime := time.Since(a.due)+retryAfter < g.deadline
	if !isRejection(status) || a.isRetry || !g.retryRejected || !retryInTime {
		a.done()
		return
	}
	a.id += "r"
	a.gatewayIndex = (a.gatewayIndex + 1) % g.Spread
	a.isRetry = true
	time.AfterFunc(retryAfter, func() { g.send(a) })
}

// countAnswer counts an attempt in the result. A rejection is classified by the units that are in the customer's bucket
// at the time of the answer.
func (g *groupLoad) countAnswer(a attempt, status int) {
	now := time.Since(g.startedAt)
	hasUnits := a.customer.bucket.CanTake(now, g.Units)
	halfFull := a.customer.bucket.HalfFull(now)
	if status == http.StatusOK {
		g.latency.Record(time.Since(a.due))
	}
	g.updateResult(func(r *GroupResult) {
		r.Tries++
		if a.isRetry {
			r.Repeats++
		}
		switch {
		case status == http.StatusOK:
			r.Served++
		case isRejection(status):
			r.Refused++
			if hasUnits {
				r.RefusedInside++
			}
			if halfFull {
				r.RefusedHalfFull++
			}
		default:
			r.Failed++
		}
	})
}

// isRejection reports whether a gateway uses the status for requests that it rejects.
func isRejection(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
