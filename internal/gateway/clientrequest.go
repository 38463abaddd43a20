package gateway

import (
	"net/http"
	"sync/atomic"

	"amberlb/policy"
)

// clientRequest is one request of a client, from its last byte to its final answer.
type clientRequest struct {
	correlationID string         // the client's own id
	decoded       policy.Request // its ID is set by the loop
	method        string
	uri           string
	host          string
	header        http.Header // forwarded to the backend
	body          []byte

	// response takes the one final answer. It has room for one, so that the loop never waits.
	response chan clientResponse
	// onSent is called by a hollow gateway when the first of the attempts reaches a backend; else nil.
	onSent func()
	// disconnected says that the client has disconnected: no attempt may begin.
	disconnected atomic.Bool

	// Owned by the loop:
	unanswered       bool // the final answer has not been given
	attemptsInFlight int  // attempts that have not ended
	attempts         []*attempt
}
