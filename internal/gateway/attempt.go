package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"amberlb/policy"
)

// attemptResult is what became of an attempt.
type attemptResult struct {
	outcome policy.Outcome
	header  http.Header // of a served answer
	body    []byte
}

// attempt is one sending of a request to a backend. The loop owns all but what
// mu guards.
type attempt struct {
	request        *clientRequest
	number         int
	backend        policy.BackendID
	sentAt         float64
	deadline       float64
	socketDeadline time.Time // the deadline for sockets
	ended          bool

	ctx           context.Context // of the dial
	cancelContext context.CancelFunc

	mu           sync.Mutex
	conn         *backendConn
	cancelled    bool // off
	fullyWritten bool // the request has been written
}

// cancel ends the attempt's sending and waiting. Once it has returned, no byte
// of the request leaves any more: a dial that is up later finds it called off,
// and a connection in use is closed.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelLocked()
}

func (a *attempt) cancelLocked() {
	a.cancelContext()
	a.cancelled = true
	if a.conn != nil {
		a.conn.Close()
	}
}

// cancelUnsent does so if the request has not been written whole, and tells
// whether it was called off.
func (a *attempt) cancelUnsent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fullyWritten {
		return false
	}
	a.cancelLocked()
	return true
}

// attach takes a connection for the attempt, unless it was called off or its client
// has left.
func (a *attempt) attach(c *backendConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled || a.request.disconnected.Load() {
		return false
	}
	a.conn = c
	return true
}

// markWritten notes that nothing of the request is left to be written.
func (a *attempt) markWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fullyWritten = true
}

// detach gives the connection up. It tells whether it may be used again.
func (a *attempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.cancelled
}
