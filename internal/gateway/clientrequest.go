package gateway

import (
	"net/http"
	"sync/atomic"

	"amberlb/policy"
)

// clientRequest is one request of a client, from the arrival of its last byte until its final answer.
type clientRequest struct {
	correlationID string         // the client's own id
	policyRequest policy.Request // its ID is set by the loop
	method        string
	uri           string
	host          string
	header        http.Header // forwarded to the backend
	body          []byte

	// response receives the one final answer. It has capacity for it, so that the loop never blocks.
	response chan clientResponse
	// onSent is called in a hollow gateway when the first attempt reaches a backend; nil in other gateways.
	onSent func()
	// disconnected is set once the client has disconnected. No attempt may begin after that.
	disconnected atomic.Bool

	// Owned by the event loop:
	unanswered       bool // the final answer has not been given
	attemptsInFlight int  // attempts that have not ended
	attempts         []*attempt
}
