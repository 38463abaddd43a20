package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"amberlb/policy"
)

const (
	maxResponseBytes    = 128 << 10 // bytes of a response with its headers and framing
	maxInterimResponses = 8         // responses read for a request, until the first that is not of 1xx
)

// errTooManyInterimResponses is returned where none of the first maxInterimResponses is final.
var errTooManyInterimResponses = errors.New("no final response among as many as are read")

// backendConn is one connection to a backend, for one request at a time. Of its fields, the pools' mutex guards
// idleSince; the others belong to the attempt that uses the connection.
type backendConn struct {
	net.Conn
	responseLimit *io.LimitedReader // bytes that a response may still take; reads from Conn
	reader        *bufio.Reader     // of responseLimit
	writer        *bufio.Writer     // of Conn
	endpoint      *endpoint         // constant
	idleSince     time.Time         // zero while an attempt uses the connection
	idleFor       time.Duration     // before the present use; 0: the connection is new
}

func newBackendConn(conn net.Conn, e *endpoint) *backendConn {
	responseLimit := &io.LimitedReader{R: conn}
	return &backendConn{
		Conn:          conn,
		responseLimit: responseLimit,
		reader:        bufio.NewReader(responseLimit),
		writer:        bufio.NewWriter(conn),
		endpoint:      e,
	}
}

// isIdle reports whether no attempt uses the connection. The caller holds the mutex of connectionPools.
func (c *backendConn) isIdle() bool { return !c.idleSince.IsZero() }

// writeRequest writes a request. On an error its last byte has not been written.
func (c *backendConn) writeRequest(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readResponse reads the response to a request, its body to the end, and reports whether the connection may be
// reused.
func (c *backendConn) readResponse(method string) (result attemptResult, reusable bool) {
	resp, body, err := c.readFinalResponse(&http.Request{Method: method})
	if err != nil {
		return attemptResult{outcome: readErrorOutcome(err)}, false
	}
	reusable = !resp.Close && c.reader.Buffered() == 0
	outcome := responseOutcome(resp)
	if outcome != policy.Served {
		return attemptResult{outcome: outcome}, reusable
	}
	return attemptResult{outcome: outcome, header: resp.Header, body: body}, reusable
}

// readFinalResponse reads the first response that is not of 1xx, and its body.
func (c *backendConn) readFinalResponse(request *http.Request) (*http.Response, []byte, error) {
	c.responseLimit.N = maxResponseBytes
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if !hasDelimitedBody(resp) {
			return nil, nil, errUndelimitedBody
		}
		body, err := readBody(resp.Body, resp.ContentLength)
		resp.Body.Close()
		if err != nil {
			return nil, nil, err
		}
		return resp, body, nil
	}
	return nil, nil, errTooManyInterimResponses
}

// noResponseYet reports whether not a byte of a response has come since readResponse began. It may be asked after
// that has returned.
func (c *backendConn) noResponseYet() bool { return c.responseLimit.N == maxResponseBytes }

// responseOutcome returns what a complete response says of its request. Only a 503 or 504 with the header for it
// proves that nothing was executed.
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

// readErrorOutcome returns the outcome where no complete response could be read. None of these proves that nothing was
// executed.
func readErrorOutcome(err error) policy.Outcome {
	switch {
	case errors.Is(err, errTooManyInterimResponses):
		return policy.Failed // the backend answers, though without end
	case errors.Is(err, os.ErrDeadlineExceeded):
		return policy.TimedOut
	}
	return policy.ConnectionReset
}
