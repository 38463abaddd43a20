package policy

// Parameters of retries.
const (
	retryShare      = 0.15 // retries allowed per first attempt; low, so that retries cannot amplify an overload
	maxRetryTokens  = 10.0 // largest number of retries that can be saved up
	clientRetryGain = 0.05 // weight of the newest request in clientRetryShare
)

// retryBudget limits the gateway's own retries to a share of first attempts, and measures the share of client
// retries.
type retryBudget struct {
	tokens           float64 // retries that may be started now
	clientRetryShare float64 // share of arriving requests that are marked as retries by clients
}

// recordArrival updates the share of client retries with an arriving request.
func (r *retryBudget) recordArrival(isRetry bool) {
	retries := 0.0
	if isRetry {
		retries = 1
	}
	r.clientRetryShare += clientRetryGain * (retries - r.clientRetryShare)
}

// recordFirstAttempt adds retryShare tokens for a first attempt, up to maxRetryTokens.
func (r *retryBudget) recordFirstAttempt() {
	r.tokens = min(r.tokens+retryShare, maxRetryTokens)
}

// retry starts one more attempt of the request, as a retry or a hedged request, if the retry budget, the time
// left, the concurrency limit and the rules of send allow it, and a backend is usable. It reports whether it
// started an attempt.
func (e *Engine) retry(req *request) bool {
	if e.retries.tokens < 1 || e.now+e.latency.mean > req.answerBy || e.atLimit(e.queue.highestLevel()) {
		return false
	}
	b := e.pick(req)
	if b == nil || !e.send(req, b) {
		return false
	}
	e.retries.tokens--
	return true
}
