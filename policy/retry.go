package policy

// Further attempts.
const (
	retryShare     = 0.15 // of first sends, so that retries cannot amplify an overload
	maxRetryTokens = 10.0 // retries saved up at most
)

// retryBudget bounds the gateway's own retries and observes those of clients.
type retryBudget struct {
	tokens      float64
	clientShare float64 // share of arriving requests that are a client's retries
}

// retry starts a further attempt if the budget has room and time remains.
func (e *Engine) retry(req *request) bool {
	if e.retries.tokens < 1 || e.now+e.latency.mean > req.answerBy || e.atLimit(len(e.queue.weights)-1) {
		return false
	}
	b := e.pick(req)
	if b == nil || !e.send(req, b) {
		return false
	}
	e.retries.tokens--
	return true
}
