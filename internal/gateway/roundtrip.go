package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"amberlb/policy"
)

var errAttemptCancelled = errors.New("attempt cancelled or client disconnected")

// startAttempt runs an attempt on a new goroutine, which calls onDone with the result.
func (p *connectionPools) startAttempt(a *attempt, onDone func(attemptResult)) {
	go func() { onDone(p.roundTrip(a)) }()
}

// roundTrip sends an attempt's request and waits for the response. An error before the last byte of the request
// is written gives policy.ConnectFailed, since the backend can't have executed an incomplete request. After a later
// error, the request may have been executed.
func (p *connectionPools) roundTrip(a *attempt) attemptResult {
	conn, err := p.sendRequest(a)
	if err != nil {
		return attemptResult{outcome: policy.ConnectFailed}
	}
	a.markWritten()
	result, reusable := conn.readResponse(memoryWait{a.ctx, a.socketDeadline}, a.request.method)
	notCancelled := a.detach()
	if notCancelled && conn.idleFor > 0 {
		// A reset before any byte of the response may be due to the connection's long idle time.
		resetUnanswered := result.outcome == policy.ConnectionReset && conn.noResponseYet()
		p.idleEstimator.observe(time.Now(), conn.idleFor, resetUnanswered)
	}
	if notCancelled && reusable {
		p.putIdle(conn)
	} else {
		p.discard(conn)
	}
	return result
}

// sendRequest gets a connection, attaches it to the attempt and writes the request to it. If it returns an error, the
// last byte of the request has not been written, and the connection, if any, has been discarded.
func (p *connectionPools) sendRequest(a *attempt) (*backendConn, error) {
	conn, err := p.getConn(a.ctx, a.backend)
	if err != nil {
		return nil, fmt.Errorf("get connection: %w", err)
	}
	if !a.attach(conn) {
		p.discard(conn)
		return nil, errAttemptCancelled
	}
	conn.SetDeadline(a.socketDeadline)
	if err := conn.writeRequest(a.request.outboundRequest(time.Until(a.socketDeadline))); err != nil {
		a.detach()
		p.discard(conn)
		return nil, fmt.Errorf("write request: %w", err)
	}
	return conn, nil
}

// outboundRequest returns the request to send to a backend: the client's request with timeLeft in timeLeftHeader, in
// milliseconds and at least 1, in place of the client's value.
func (req *clientRequest) outboundRequest(timeLeft time.Duration) *http.Request {
	header := make(http.Header, len(req.header))
	for name, values := range req.header {
		header[name] = values
	}
	header[timeLeftHeader] = []string{strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10)}
	outbound := &http.Request{Method: req.method, Host: req.host, Header: header, URL: &url.URL{Opaque: req.uri}}
	if len(req.body) > 0 {
		outbound.Body = io.NopCloser(bytes.NewReader(req.body))
		outbound.ContentLength = int64(len(req.body))
	}
	return outbound
}
