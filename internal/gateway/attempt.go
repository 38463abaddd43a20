package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"amberlb/policy"
)

// attemptResult is the result of an attempt. The header, body and memory are set only if the outcome is policy.Served.
type attemptResult struct {
	outcome policy.Outcome
	header  http.Header
	body    []byte
	memory  reservation // for the header and the body
}

// attempt is one try to send a request to a backend and get the response. The event loop and the transport's goroutine
// share the attempt.
//
// For the event loop, the attempt is in flight until ended is set. The first of these events sets ended: the loop finds
// that the attempt may not be sent (see canStart), the transport reports the result, the deadline passes, the engine
// cancels the attempt, or the client disconnects before the request has been fully written.
//
// The transport's goroutine waits for a connection, attaches it to the attempt, writes the request, reads the response
// and detaches the connection. The loop may cancel the attempt at any of these steps. mu orders cancel and attach: a
// cancel before attach makes attach fail, and a cancel after attach closes the connection.
type attempt struct {
	// The fields below are set before the attempt is passed to the transport, and are constant afterwards. ctx and
	// cancelContext are nil if the attempt ended before it was passed to the transport.
	request        *clientRequest
	number         int // index among the request's attempts, from 0
	backend        policy.BackendID
	sentAt         float64            // start of the attempt, in seconds of the loop's clock
	deadline       float64            // latest end of the attempt, in seconds of the loop's clock
	socketDeadline time.Time          // deadline as a time.Time, for socket operations
	ctx            context.Context    // bounds the wait for a connection
	cancelContext  context.CancelFunc // ends ctx; may be called from any goroutine

	// Owned by the event loop:
	ended         bool            // the attempt is no longer in flight
	deadlineTimer *scheduledTimer // nil if the attempt ended before it was passed to the transport

	mu           sync.Mutex   // guards the fields below
	conn         *backendConn // nil while no connection is attached
	cancelled    bool         // no more bytes of the request may be sent
	fullyWritten bool         // the last byte of the request has been written, so the backend may execute it
}

// cancel stops the attempt. After it returns, no further byte of the request is sent: attach fails for a connection
// that is obtained later, and an attached connection has been closed.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelLocked()
}

// cancelLocked implements cancel. The caller holds mu.
func (a *attempt) cancelLocked() {
	a.cancelContext()
	a.cancelled = true
	if a.conn != nil {
		a.conn.Close()
	}
}

// cancelUnsent cancels the attempt unless its request has been fully written. It reports whether it cancelled the
// attempt.
func (a *attempt) cancelUnsent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fullyWritten {
		return false
	}
	a.cancelLocked()
	return true
}

// attach makes conn the attempt's connection, so that a cancel closes it, and reports whether the request may be
// written to it. It returns false, and attaches nothing, if the attempt was cancelled or the client has disconnected.
func (a *attempt) attach(conn *backendConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled || a.request.clientClosed() {
		return false
	}
	a.conn = conn
	return true
}

// markWritten records that the request has been fully written.
func (a *attempt) markWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fullyWritten = true
}

// mayHaveRun reports whether the request has been fully written to the attempt's backend.
func (a *attempt) mayHaveRun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullyWritten
}

// detach separates the connection from the attempt. It returns false if the attempt was cancelled: the cancel has
// closed the connection, so it can't be reused.
func (a *attempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.cancelled
}
