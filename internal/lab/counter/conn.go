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
	idleTimeout  = 10 * time.Second      // longest time without calls and pending responses
	writeTimeout = 10 * time.Second      // longest wait for a client that doesn't read its responses
	pollInterval = 20 * time.Millisecond // longest sleep of the writer, since a fault may change the clock's speed
	maxLineBytes = 2 << 10               // largest size of a line of a request
	maxPending   = 4096                  // largest number of pending responses of a connection; at the limit, calls wait
)

// conn is a connection of a client. One goroutine reads calls. A second goroutine, the writer, writes the responses. The
// writer runs only while responses are pending, so that an idle connection needs only one goroutine.
type conn struct {
	net.Conn
	counter *Counter

	mu      sync.Mutex
	changed *sync.Cond // signals that pending has become shorter or that writing is false
	pending []response // pending responses, in the order of their calls
	writing bool       // the writer is running
	muted   bool       // no further response is written, since an earlier call got no response
}

// serve handles the calls of a connection until no further calls are read and the writer has ended. Then it closes the
// connection.
func (c *Counter) serve(netConn net.Conn) {
	defer netConn.Close()
	k := &conn{Conn: netConn, counter: c}
	k.changed = sync.NewCond(&k.mu)
	k.readCalls()
	k.awaitWriter()
}

// awaitWriter waits until the writer has ended.
func (k *conn) awaitWriter() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.writing {
		k.changed.Wait()
	}
}

// readCalls reads and handles calls until the client closes the connection, is idle for too long, or sends a malformed
// request.
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

// awaitCall waits for the first byte of the next call. It returns false if the connection has ended or is idle for too
// long.
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

// isIdle reports whether the client is not waiting for any response.
func (k *conn) isIdle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.pending) == 0 && !k.writing && !k.muted
}

// enqueueResponse handles a call, enqueues its response, and starts the writer if it is not running. The parameter
// readErr is not nil if the request is malformed.
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

// respond handles a request and returns its response. The parameter readErr is not nil if the request is malformed.
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

// writeResponses is the writer: it writes responses as they become due, until no response is pending.
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

// takeDue removes the responses that are due from pending, appends their text to buffer, and returns the result. If no
// response is due, wait is the time after which the writer must call takeDue again. If no response is pending, done is
// true and the writer must end.
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

// countDue returns how many of the pending responses can be written. Responses are written in the order of their calls,
// so a response that is not due yet delays all later responses.
func (k *conn) countDue(serviceNow time.Duration) int {
	due := 0
	for due < len(k.pending) && k.pending[due].due <= serviceNow {
		due++
	}
	return due
}

// writeText writes the text of responses. If the write fails, writeText closes the connection, so that the reading of
// calls ends too.
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
