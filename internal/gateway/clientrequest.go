package gateway

import (
	"net"
	"net/http"
	"slices"
	"sync/atomic"

	"amberlb/policy"
)

// clientRequest is one request of a client, from the arrival of its last byte until its final answer.
type clientRequest struct {
	correlationID string         // the id that the client gave the request
	policyRequest policy.Request // its ID is set by the event loop
	method        string
	uri           string
	host          string
	header        http.Header // headers to forward to the backend
	body          []byte

	// memory and responseMemory are the memory that the bytes of the request and of its answer occupy. They are released
	// by the last owner of the request. The event loop sets responseMemory before it sends the answer.
	memory         reservation
	responseMemory reservation
	// owners is the number of goroutines that use the request: its handler, and the event loop while the request is
	// open.
	owners atomic.Int32

	// response receives the final answer. It has capacity for the answer, so that the event loop never blocks.
	response chan clientResponse
	// clientConn is the connection of the client; nil in a hollow gateway.
	clientConn net.Conn
	// onSent is called in a hollow gateway when the first attempt reaches a backend; nil in other gateways.
	onSent func()
	// disconnected is set when the gateway detects that the client has disconnected. No attempt may begin once
	// disconnected is set.
	disconnected atomic.Bool

	// Owned by the event loop:
	unanswered       bool // the request still needs its final answer
	attemptsInFlight int  // number of attempts that have not ended
	attempts         []*attempt
	timers           []*scheduledTimer // timers that the engine has set for the request
}

// wasForwarded reports whether a backend may have executed the request. Only the event loop may call it.
func (req *clientRequest) wasForwarded() bool {
	return slices.ContainsFunc(req.attempts, (*attempt).mayHaveRun)
}

// clientClosed reports whether the client has disconnected. While the process is busy, the goroutine that watches the
// client may not have run yet, so the socket is asked as well.
func (req *clientRequest) clientClosed() bool {
	if !req.disconnected.Load() && req.clientConn != nil && peerClosed(req.clientConn) {
		req.disconnected.Store(true)
	}
	return req.disconnected.Load()
}

// addOwner records that another goroutine uses the request.
func (req *clientRequest) addOwner() { req.owners.Add(1) }

// removeOwner records that a goroutine no longer uses the request. The last owner releases the request's memory.
func (req *clientRequest) removeOwner() {
	if req.owners.Add(-1) == 0 {
		req.memory.release()
		req.responseMemory.release()
	}
}
