package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"amberlb/policy"
)

// attemptResult is what became of an attempt. Its header and body are set for policy.Served alone.
type attemptResult struct {
	outcome policy.Outcome
	header  http.Header
	body    []byte
}

// attempt is one sending of a request to a backend.
//
// On the loop it is in flight until ended is set, by whichever comes first: the transport's result, its deadline, a
// cancel by the engine or its client's leaving.
//
// On the transport's goroutine it waits for a connection, is attached to one, has been fully written, and is detached
// again. The loop may cancel it in each of these states. mu makes that exact: a cancel comes before attach, which
// then fails, or after it, and then closes the connection.
type attempt struct {
	// Set before the transport has the attempt, and constant from then on. The context and its cancel are nil for
	// an attempt that ended without having begun.
	request        *clientRequest
	number         int // among the request's attempts, from 0
	backend        policy.BackendID
	sentAt         float64            // seconds of the loop's clock
	deadline       float64            // seconds of the loop's clock
	socketDeadline time.Time          // the deadline for sockets
	ctx            context.Context    // of the wait for a connection
	cancelContext  context.CancelFunc // may be called by any goroutine

	ended bool // the loop's own

	mu           sync.Mutex   // guards what follows
	conn         *backendConn // while attached
	cancelled    bool         // nothing may be sent any more
	fullyWritten bool         // the request has been written to its last byte, and may be executed
}

// cancel ends the attempt's sending and waiting. Once it has returned, no byte of the request leaves any more: a
// connection that is dialled later finds the attempt cancelled, and one in use is closed.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelLocked()
}

// cancelLocked is cancel for a caller that holds mu.
func (a *attempt) cancelLocked() {
	a.cancelContext()
	a.cancelled = true
	if a.conn != nil {
		a.conn.Close()
	}
}

// cancelUnsent cancels the attempt unless its request has been fully written, and reports whether it did.
func (a *attempt) cancelUnsent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fullyWritten {
		return false
	}
	a.cancelLocked()
	return true
}

// attach ties a connection to the attempt, and reports whether the request may be written to it. It may not once the
// attempt is cancelled or the client has disconnected.
func (a *attempt) attach(conn *backendConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled || a.request.disconnected.Load() {
		return false
	}
	a.conn = conn
	return true
}

// markWritten records that nothing of the request is left to be written.
func (a *attempt) markWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fullyWritten = true
}

// detach gives the connection up, and reports whether it may be reused: a cancel would have closed it.
func (a *attempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.cancelled
}
