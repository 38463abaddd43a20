package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// unreservedRequestBytes is the size in bytes up to which a request needs no memory of the budget. clientConnBytes
	// allows for it.
	unreservedRequestBytes = 4 << 10
	// maxMemoryWaitShare is the largest share of a client's timeout that its request waits for memory. It is below a half:
	// a rejection after half of the timeout costs a part of the request's weight.
	maxMemoryWaitShare = 0.4
	// maxStall is the longest wait for the next bytes of a request while another client waits for its memory or its slot.
	maxStall = 250 * time.Millisecond
)

// errBodyStalled is returned for a body whose rest did not arrive while another client waited for its memory or its slot.
var errBodyStalled = errors.New("the rest of the body did not arrive in time")

// receivedBody is the body of a client's request.
type receivedBody struct {
	bytes  []byte
	memory reservation // for the whole request
}

// receiveBody reserves memory for a request, and then reads its body. The argument timeout is the client's timeout in
// seconds. The error is a *requestError.
func (f *frontend) receiveBody(r *http.Request, timeout float64) (receivedBody, error) {
	memory, err := f.reserveMemory(r, timeout)
	if err != nil {
		f.loop.metrics.add(requestsOverMemory)
		return receivedBody{}, &requestError{http.StatusServiceUnavailable, err}
	}
	body, err := readRequestBody(r, memory.budget)
	if err != nil {
		memory.release()
		return receivedBody{}, err
	}
	memory.merge(takeHeadMemory(r))
	return receivedBody{bytes: body, memory: memory}, nil
}

// reserveMemory reserves the memory that a request needs beyond unreservedRequestBytes. It waits until the read deadline
// of the connection at most, and no longer than maxMemoryWaitShare of the client's timeout. A request whose head holds
// memory does not wait (see memoryBudget.reserveMore).
func (f *frontend) reserveMemory(r *http.Request, timeout float64) (reservation, error) {
	size := requestSize(r)
	if size <= unreservedRequestBytes {
		return reservation{}, nil
	}
	if conn := clientConnOf(r); conn != nil && conn.headMemory.budget != nil {
		return f.memory.reserveMore(r.ContentLength)
	}
	waitUntil := time.Now().Add(toDuration(timeout * maxMemoryWaitShare))
	if conn := clientConnOf(r); conn != nil {
		waitUntil = conn.readDeadlineBefore(waitUntil)
	}
	return f.memory.reserve(r.Context(), waitUntil, size)
}

// requestSize returns the number of bytes of a request's target, header and body.
func requestSize(r *http.Request) int64 {
	return int64(len(r.RequestURI)) + headerSize(r.Header) + r.ContentLength
}

// readRequestBody reads the whole body of a request with a Content-Length, for which the memory has been reserved. The
// budget is nil if the request needed no reservation. The error is a *requestError.
func readRequestBody(r *http.Request, budget *memoryBudget) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	conn := clientConnOf(r)
	if conn != nil && budget != nil {
		conn.beginBody(budget)
	}
	body, err := readBody(r.Body, r.ContentLength)
	if err != nil {
		return nil, requestBodyError(err, conn)
	}
	io.Copy(io.Discard, r.Body) // up to EOF, because only then the server watches for a disconnect
	return body, nil
}

// requestBodyError returns the requestError for a body that could not be read from conn because of err.
func requestBodyError(err error, conn *clientConn) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && conn.readDeadlineAhead():
		return &requestError{http.StatusServiceUnavailable, errBodyStalled}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &requestError{conn.table.incompleteStatus(conn), fmt.Errorf("body: %w", err)}
	}
	return badRequest("body: %w", err)
}
