package policy

// Retries.
const (
	retryShare      = 0.15 // of first attempts, so that retries cannot amplify an overload
	maxRetryTokens  = 10.0 // retries saved up at most
	clientRetryGain = 0.05 // weight of the newest request in the share of client retries
)

// retryBudget bounds the gateway's own retries and observes those of clients.
type retryBudget struct {
	tokens      float64 // retries that may begin
	clientShare float64 // share of arriving requests that are a client's retries
}

// recordArrival takes in whether an arriving request is a client's retry.
func (r *retryBudget) recordArrival(isRetry bool) {
	retries := 0.0
	if isRetry {
		retries = 1
	}
	r.clientShare += clientRetryGain * (retries - r.clientShare)
}

// recordFirstAttempt adds what a first attempt allows in retries.
func (r *retryBudget) recordFirstAttempt() {
	r.tokens = min(r.tokens+retryShare, maxRetryTokens)
}

// retry starts one more attempt if the retry budget has a token and time remains. It reports whether it did.
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
