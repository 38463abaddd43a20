package gateway

import (
	"math"
	"net/http"
	"strconv"
	"sync/atomic"

	"amberlb/policy"
)

// clientRequest is one request of a client, from its last byte to its final answer.
type clientRequest struct {
	correlationID string         // the client's own
	decoded       policy.Request // the loop gives it its id
	method        string
	uri           string
	host          string
	header        http.Header // what goes on to a backend
	body          []byte

	// reply takes the one final answer; the loop sends it and never waits.
	response chan clientResponse
	// sent is called by a hollow gateway as the first of its attempts reaches a backend; else nil.
	onSent       func()
	disconnected atomic.Bool // the client has; no attempt is to begin any more

	// The loop's own:
	unanswered       bool // the final answer has not been given
	attemptsInFlight int  // attempts out
	attempts         []*attempt
}

// clientResponse is what a client is told.
type clientResponse struct {
	status     int
	retryAfter float64 // seconds; 0: no advice
	header     http.Header
	body       []byte
}

// write gives the answer to the client.
func (a clientResponse) write(w http.ResponseWriter) {
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	if a.status != http.StatusOK {
		if a.retryAfter > 0 {
			h["Retry-After"] = []string{strconv.FormatFloat(math.Ceil(a.retryAfter*1000)/1000, 'f', -1, 64)}
		}
		h["Content-Length"] = []string{"0"}
		w.WriteHeader(a.status)
		return
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // the backend named none, and guessing costs time
	}
	h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	w.WriteHeader(a.status)
	w.Write(a.body) // an error means that the client has left
}
