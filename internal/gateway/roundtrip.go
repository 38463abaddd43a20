package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"amberlb/policy"
)

// Headers between a gateway and a backend.
const (
	timeLeftHeader    = "X-Time-Left-Ms" // of a request, also of a client's: milliseconds left for it
	loadHeader        = "X-Backend-Load" // of a response: the backend's own account of its load
	unprocessedHeader = "X-Unprocessed"  // of a response: "1" states that nothing of the request was executed
)

const (
	maxResponseBytes    = 128 << 10 // bytes of a response with its headers and framing
	maxInterimResponses = 8         // responses read for a request, until the first that is not of 1xx
)

// backendConn is one connection to a backend, for one request at a time.
type backendConn struct {
	net.Conn
	responseLimit *io.LimitedReader // what an answer may still take, headers among it
	reader        *bufio.Reader     // on left
	writer        *bufio.Writer
	endpoint      *endpoint
	idleSince     time.Time     // since when
	idleFor       time.Duration // before the present use; 0: it is new
}

func newBackendConn(conn net.Conn, endpoint *endpoint) *backendConn {
	responseLimit := &io.LimitedReader{R: conn}
	return &backendConn{Conn: conn, responseLimit: responseLimit, reader: bufio.NewReader(responseLimit), writer: bufio.NewWriter(conn), endpoint: endpoint}
}

// isIdle reports whether no attempt uses the connection. The caller holds the mutex of connectionPools.
func (c *backendConn) isIdle() bool { return !c.idleSince.IsZero() }

// startAttempt runs an attempt on a goroutine of its own.
func (p *connectionPools) startAttempt(a *attempt, onDone func(attemptResult)) {
	go func() { onDone(p.roundTrip(a)) }()
}

// roundTrip sends the request and waits for what comes back. An error before the
// last byte is written proves that nothing ran; any later one proves nothing.
func (p *connectionPools) roundTrip(a *attempt) attemptResult {
	c, err := p.getConn(a.ctx, a.backend)
	if err != nil {
		return attemptResult{outcome: policy.ConnectFailed}
	}
	if !a.attach(c) {
		p.discard(c)
		return attemptResult{outcome: policy.ConnectFailed}
	}
	c.SetDeadline(a.socketDeadline)
	err = a.request.outboundRequest(time.Until(a.socketDeadline)).Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		a.detach()
		p.discard(c)
		return attemptResult{outcome: policy.ConnectFailed}
	}
	a.markWritten()
	result, reuse := c.readResponse(a.request.method)
	attached := a.detach()
	if brokenUnanswered := result.outcome == policy.ConnectionReset && c.responseLimit.N == maxResponseBytes; attached && c.idleFor > 0 {
		p.idleEstimator.observe(time.Now(), c.idleFor, brokenUnanswered)
	}
	if attached && reuse {
		p.putIdle(c)
	} else {
		p.discard(c)
	}
	return result
}

// outboundRequest is what goes to the backend: the client's own, with the time that
// this attempt has.
func (req *clientRequest) outboundRequest(timeLeft time.Duration) *http.Request {
	header := make(http.Header, len(req.header))
	for k, v := range req.header {
		header[k] = v
	}
	header[timeLeftHeader] = []string{strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10)}
	r := &http.Request{Method: req.method, Host: req.host, Header: header, URL: &url.URL{Opaque: req.uri}}
	if len(req.body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(req.body)), int64(len(req.body))
	}
	return r
}

// readResponse reads what comes back, the body whole, and tells whether the
// connection may be used again.
func (c *backendConn) readResponse(method string) (attemptResult, bool) {
	request := &http.Request{Method: method}
	c.responseLimit.N = maxResponseBytes
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return attemptResult{outcome: readErrorOutcome(err)}, false
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if !hasDelimitedBody(resp) {
			return attemptResult{outcome: policy.ConnectionReset}, false
		}
		body, err := readBody(resp.Body, resp.ContentLength)
		resp.Body.Close()
		if err != nil {
			return attemptResult{outcome: readErrorOutcome(err)}, false
		}
		reuse := !resp.Close && c.reader.Buffered() == 0
		switch {
		case resp.StatusCode == http.StatusOK:
			return attemptResult{policy.Served, resp.Header, body}, reuse
		case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
			resp.Header.Get(unprocessedHeader) == "1":
			return attemptResult{outcome: policy.Rejected}, reuse
		}
		return attemptResult{outcome: policy.Failed}, reuse
	}
	return attemptResult{outcome: policy.Failed}, false
}

// readErrorOutcome tells a time-out from a connection that ended.
func readErrorOutcome(err error) policy.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return policy.TimedOut
	}
	return policy.ConnectionReset
}
