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
	maxResponseBytes    = 128 << 10 // bytes; maximum size of a response, with headers, framing and interim responses
	maxInterimResponses = 8         // number of interim (1xx) responses after which no final response is read
)

// errTooManyInterimResponses is returned if the first maxInterimResponses responses to a request are all interim (1xx).
var errTooManyInterimResponses = errors.New("too many interim responses without a final one")

// backendConn is a connection to a backend. It carries one request at a time. The mutex of connectionPools guards
// idleSince; the other fields belong to the attempt that uses the connection.
type backendConn struct {
	net.Conn
	responseLimit *io.LimitedReader // reads from Conn and limits the size of a response
	reader        *bufio.Reader     // reads from responseLimit
	writer        *bufio.Writer     // writes to Conn
	endpoint      *endpoint         // endpoint to which the connection was dialed; constant
	idleSince     time.Time         // start of the idle time; zero while an attempt uses the connection
	idleFor       time.Duration     // idle time before the current use; 0 for a new connection
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

// writeRequest writes a request. If it returns an error, the last byte of the request has not been written.
func (c *backendConn) writeRequest(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readResponse reads the complete response to a request that was sent with the given method. It also reports whether
// the connection may be reused.
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

// readFinalResponse skips interim (1xx) responses and reads the final response and its body.
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

// noResponseYet reports whether no byte of a response has arrived since the last call of readResponse began. It may
// be called after readResponse has returned.
func (c *backendConn) noResponseYet() bool { return c.responseLimit.N == maxResponseBytes }

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
	case errors.Is(err, os.ErrDeadlineExceeded):
		return policy.TimedOut
	}
	return policy.ConnectionReset
}
