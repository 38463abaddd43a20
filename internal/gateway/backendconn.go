package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"time"

	"amberlb/policy"
)

const (
	maxResponseBytes    = 128 << 10 // bytes; maximum size of a response, with headers, framing and interim responses
	maxTrailerBytes     = 4 << 10   // bytes; maximum size of the trailer behind a chunked body
	maxInterimResponses = 8         // number of interim (1xx) responses after which no final response is read

	// unreservedResponseBytes is the size in bytes up to which a response needs no memory of the budget.
	unreservedResponseBytes = 4 << 10
)

var (
	// errTooManyInterimResponses is returned if the first maxInterimResponses responses to a request are all interim (1xx).
	errTooManyInterimResponses = errors.New("too many interim responses without a final one")
	// errTrailerTooLong is returned for a response whose trailer has more than maxTrailerBytes.
	errTrailerTooLong = errors.New("the trailer of the response is too long")
)

// backendConn is a connection to a backend. It carries one request at a time. The mutex of connectionPools guards
// endpoint and idleSince; the other fields belong to the attempt that uses the connection.
type backendConn struct {
	net.Conn
	responses *responseReader // reads from Conn
	reader    *bufio.Reader   // reads from responses
	writer    *bufio.Writer   // writes to Conn
	memory    *memoryBudget   // for the bytes of responses
	dialedAt  float64         // time before the connection was dialed, in Unix seconds; constant
	endpoint  *endpoint       // endpoint of the process to which the connection leads
	idleSince time.Time       // start of the idle time; zero while an attempt uses the connection
	idleFor   time.Duration   // idle time before the current use; 0 for a new connection
}

func newBackendConn(conn net.Conn, e *endpoint, memory *memoryBudget) *backendConn {
	responses := &responseReader{limit: io.LimitedReader{R: conn}, budget: memory}
	return &backendConn{
		Conn:      conn,
		responses: responses,
		reader:    bufio.NewReader(responses),
		writer:    bufio.NewWriter(conn),
		memory:    memory,
		endpoint:  e,
	}
}

// isIdle reports whether no attempt uses the connection. The caller holds the mutex of connectionPools.
func (c *backendConn) isIdle() bool { return !c.idleSince.IsZero() }

// writeRequest writes a request. If it returns an error, the last byte of the request has not been written.
func (c *backendConn) writeRequest(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readResponse reads the complete response to a request that was sent with the given method. It also reports whether
// the connection may be reused. If the result has memory, the caller must release it. readResponse waits for memory
// until wait ends.
func (c *backendConn) readResponse(wait memoryWait, method string) (result attemptResult, reusable bool) {
	c.responses.reset(wait)
	defer func() { c.responses.headMemory.release() }() // does nothing if the result has the memory
	resp, err := c.readFinalResponse(&http.Request{Method: method})
	if err != nil {
		return attemptResult{outcome: readErrorOutcome(err)}, false
	}
	reusable = !resp.Close && c.reader.Buffered() == 0
	outcome := responseOutcome(resp.Response)
	if outcome != policy.Served {
		resp.memory.release()
		return attemptResult{outcome: outcome}, reusable
	}
	return attemptResult{outcome: outcome, header: resp.Header, body: resp.body, memory: resp.memory}, reusable
}

// receivedResponse is a complete response of a backend.
type receivedResponse struct {
	*http.Response
	body   []byte
	memory reservation // for the header and the body
}

// readFinalResponse skips interim (1xx) responses and reads the final response and its body.
func (c *backendConn) readFinalResponse(request *http.Request) (receivedResponse, error) {
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return receivedResponse{}, err
		}
		if resp.StatusCode/100 != 1 {
			return c.receiveBody(resp)
		}
	}
	return receivedResponse{}, errTooManyInterimResponses
}

// receiveBody reserves memory for a response, and then reads its body.
func (c *backendConn) receiveBody(resp *http.Response) (receivedResponse, error) {
	switch {
	case !hasDelimitedBody(resp):
		return receivedResponse{}, errUndelimitedBody
	case resp.ContentLength > maxBodyBytes:
		return receivedResponse{}, errBodyTooLong
	}
	memory, err := c.reserveMemory(resp)
	if err != nil {
		return receivedResponse{}, err
	}
	memory.merge(c.responses.takeHeadMemory())
	body, err := c.readBody(resp)
	if err != nil {
		memory.release()
		return receivedResponse{}, err
	}
	return receivedResponse{resp, body, memory}, nil
}

// readBody reads the body of a response, and what is behind it up to the end of the response. A chunked body is not read
// through resp, whose reader parses the trailer: short fields take far more memory in parsed form.
func (c *backendConn) readBody(resp *http.Response) ([]byte, error) {
	if resp.Body == http.NoBody || len(resp.TransferEncoding) == 0 {
		defer resp.Body.Close()
		return readBody(resp.Body, resp.ContentLength)
	}
	body, err := readBody(httputil.NewChunkedReader(c.reader), resp.ContentLength)
	if err != nil {
		return nil, err
	}
	return body, c.skipTrailer()
}

// skipTrailer reads the trailer behind the last chunk, up to the empty line that ends it.
func (c *backendConn) skipTrailer() error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		size += len(line)
	}
	return errTrailerTooLong
}

// reserveMemory reserves the memory that a response needs beyond unreservedResponseBytes. A body without a stated length
// counts as maxBodyBytes. While reserveMemory waits, the rest of the response stays in the socket. A response whose head
// holds memory does not wait (see memoryBudget.reserveMore).
func (c *backendConn) reserveMemory(resp *http.Response) (reservation, error) {
	bodyBytes := resp.ContentLength
	if bodyBytes < 0 {
		bodyBytes = maxBodyBytes
	}
	if c.responses.headMemory.budget != nil {
		return c.memory.reserveMore(bodyBytes)
	}
	size := headerSize(resp.Header) + bodyBytes
	if size <= unreservedResponseBytes {
		return reservation{}, nil
	}
	wait := c.responses.wait
	return c.memory.reserve(wait.ctx, wait.until, size)
}

// noResponseYet reports whether no byte of a response has arrived since the last call of readResponse began. It may
// be called after readResponse has returned.
func (c *backendConn) noResponseYet() bool { return c.responses.limit.N == maxResponseBytes }

// responseOutcome returns the outcome of an attempt that got a complete response. Only status 503 or 504 with the value
// "1" in unprocessedHeader proves that the backend has executed nothing of the request.
func responseOutcome(resp *http.Response) policy.Outcome {
	switch resp.StatusCode {
	case http.StatusOK:
		return policy.Served
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(unprocessedHeader) == "1" {
			return policy.Rejected
		}
	}
	return policy.Failed
}

// readErrorOutcome returns the outcome of an attempt or counter call whose response could not be read because of err.
// Whichever outcome it returns, the request may have been executed.
func readErrorOutcome(err error) policy.Outcome {
	switch {
	case errors.Is(err, errTooManyInterimResponses):
		return policy.Failed // the backend responds, but has sent no final response
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, errMemoryExhausted):
		return policy.TimedOut
	}
	return policy.ConnectionReset
}
