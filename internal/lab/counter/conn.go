package counter

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"amberlb/internal/lab/request"
)

const (
	idleTimeout  = 10 * time.Second      // a connection without calls or responses for so long is closed
	writeTimeout = 10 * time.Second      // for a caller that doesn't read its responses
	pollInterval = 20 * time.Millisecond // between looks at the service clock, whose speed a fault may change
	maxLineBytes = 2 << 10               // of a request
	maxPending   = 4096                  // calls without a response on a connection; further ones are read later
)

// conn is a connection. One goroutine reads its calls; another writes the responses, but only while some are pending, so
// that an idle connection costs one goroutine.
type conn struct {
	net.Conn
	counter *Counter

	mu      sync.Mutex
	changed *sync.Cond // pending has become shorter, or writing has ended
	pending []response // in the order of their calls
	writing bool       // the writer's goroutine runs
	muted   bool       // a call was left without a response, so none may follow
}

// serve serves a connection until it ends.
func (c *Counter) serve(netConn net.Conn) {
	defer netConn.Close()
	k := &conn{Conn: netConn, counter: c}
	k.changed = sync.NewCond(&k.mu)
	k.readCalls()
	k.awaitWriter()
}

// awaitWriter waits for the end of the writer's goroutine.
func (k *conn) awaitWriter() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.writing {
		k.changed.Wait()
	}
}

// readCalls handles calls until the caller closes, is idle for too long, or sends a malformed request.
func (k *conn) readCalls() {
	reader := bufio.NewReaderSize(k.Conn, maxLineBytes)
	var q request.Request
	for {
		if reader.Buffered() == 0 && !k.awaitCall(reader) {
			return
		}
		err := q.Read(reader)
		if err != nil && !errors.Is(err, request.ErrMalformed) {
			return
		}
		k.enqueueResponse(&q, err)
		if err != nil || q.Close {
			return
		}
	}
}

// awaitCall waits for the next call. It returns false if none comes.
func (k *conn) awaitCall(reader *bufio.Reader) bool {
	for {
		k.SetReadDeadline(time.Now().Add(idleTimeout))
		_, err := reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || k.isIdle() {
			return false
		}
	}
}

// isIdle tells whether the caller waits for no response.
func (k *conn) isIdle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.pending) == 0 && !k.writing && !k.muted
}

// enqueueResponse handles a call and enqueues its response. readErr is not nil for a malformed request.
func (k *conn) enqueueResponse(q *request.Request, readErr error) {
	k.counter.callCount.Add(1)
	fault := k.counter.currentFault.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.muted = k.muted || fault.Blackhole
	for len(k.pending) >= maxPending && !k.muted {
		k.changed.Wait()
	}
	if k.muted {
		return
	}
	k.pending = append(k.pending, k.counter.respond(fault, q, readErr))
	if !k.writing {
		k.writing = true
		k.counter.serving.Go(k.writeResponses)
	}
}

// respond returns the response to a request, which is malformed if readErr is not nil.
func (c *Counter) respond(fault *faultState, q *request.Request, readErr error) response {
	if readErr != nil {
		return response{status: http.StatusBadRequest}
	}
	parsed, status := parseCall(q)
	if status != http.StatusOK {
		return response{status: status}
	}
	return c.handleCall(fault, parsed)
}

// writeResponses writes responses as they become due, until none is pending.
func (k *conn) writeResponses() {
	var text []byte
	for {
		var wait time.Duration
		var done bool
		text, wait, done = k.takeDue(text[:0])
		switch {
		case done:
			return
		case len(text) == 0:
			time.Sleep(wait)
		default:
			k.writeText(text)
		}
	}
}

// takeDue takes the responses that are due and appends their text to a buffer. Where none is due, wait is when to call
// it again. Once none is pending, done is true and the writer has to end.
func (k *conn) takeDue(buffer []byte) (text []byte, wait time.Duration, done bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.changed.Broadcast()
	fault := k.counter.currentFault.Load()
	serviceNow := fault.serviceClock(k.counter.now())
	due := k.countDue(serviceNow)
	if due > 0 && fault.Blackhole || k.counter.closed.Load() {
		k.muted = true
	}
	if k.muted {
		k.pending = nil
	}
	if len(k.pending) == 0 {
		k.writing = false
		return nil, 0, true
	}
	if due == 0 {
		untilDue := time.Duration(float64(k.pending[0].due-serviceNow) * fault.SlowFactor)
		return buffer, min(untilDue, pollInterval), false
	}
	for _, r := range k.pending[:due] {
		buffer = r.appendHTTP(buffer)
	}
	k.pending = k.pending[due:]
	return buffer, 0, false
}

// countDue returns how many of the pending responses are due. One that is not holds back those behind it.
func (k *conn) countDue(serviceNow time.Duration) int {
	due := 0
	for due < len(k.pending) && k.pending[due].due <= serviceNow {
		due++
	}
	return due
}

// writeText writes the text of responses. If that fails, the connection is closed, which ends its reader.
func (k *conn) writeText(text []byte) {
	k.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := k.Write(text); err == nil {
		return
	}
	k.mu.Lock()
	k.muted = true
	k.mu.Unlock()
	k.Close()
}
