package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"amberlb/policy"
)

const (
	countPath               = "/v1/count/"
	counterIOTimeout        = 1 * time.Second  // timeout of a write, and time after which a connection is silent (isSilent)
	counterResponseTimeout  = 10 * time.Second // minimum of counterConn.responseTimeout
	maxCounterResponseBytes = 4 << 10          // bytes; maximum size of a response, with its headers
)

// countRequest is passed to http.ReadResponse as the request of every call. The method POST means that the response may
// have a body. countRequest is never modified.
var countRequest = &http.Request{Method: http.MethodPost}

// counterConn is a pipelined connection to the counter: calls are written in order, without waiting for responses, and
// the responses arrive in the same order. An abandoned call stays in the pipeline, so that its late response is not
// mistaken for the response to the next call. The stream's goroutine writes the calls. A reader goroutine, counted in
// counterClient.readers, reads the responses and finally closes the connection.
type counterConn struct {
	net.Conn
	dialedAddress   string
	responseTimeout time.Duration               // time that a response may take before the connection is closed
	idleEstimator   *idleLimitEstimator         // shared by all connections to the counter
	openConns       *atomic.Int64               // counterStream.openConns; counts this connection until its reader ends
	pipeline        chan *counterCall           // calls that have been written, in order
	inFlight        atomic.Int64                // number of calls whose response has not been read
	headCall        atomic.Pointer[counterCall] // call whose response is being awaited or read; nil if there is none
	ended           atomic.Bool                 // set when the reader has ended
	failed          atomic.Bool                 // set after an error: no further call may be written
	retireOnce      sync.Once
}

// dial opens a connection and starts its reader. The connection is counted in openConns until the reader ends.
func (c *counterClient) dial(ctx context.Context, openConns *atomic.Int64) (*counterConn, error) {
	dialer := net.Dialer{Timeout: c.timeout, KeepAlive: -1}
	address := *c.address.Load()
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &counterConn{
		Conn:            netConn,
		dialedAddress:   address,
		responseTimeout: max(counterResponseTimeout, c.timeout),
		idleEstimator:   &c.idleEstimator,
		openConns:       openConns,
		pipeline:        make(chan *counterCall, maxQueuedCalls),
	}
	openConns.Add(1)
	c.readers.Go(func() {
		defer openConns.Add(-1)
		defer conn.ended.Store(true)
		conn.readResponses()
	})
	return conn, nil
}

// retire stops the use of the connection for further calls. The reader closes the connection after the calls in flight
// have ended. Only the stream's goroutine may call retire, so that no call is added to the pipeline afterwards.
func (c *counterConn) retire() { c.retireOnce.Do(func() { close(c.pipeline) }) }

// Close retires the connection and closes it at once. The reader ends the calls in flight with an error outcome.
func (c *counterConn) Close() error {
	c.retire()
	return c.Conn.Close()
}

// reusable reports whether another call may be written to the connection. idleFor is the time since the last call was
// written. Without a call in flight, reusable also checks the estimated idle limit and the state of the socket, since
// the counter may close an idle connection earlier than the protocol says. If a call were written to a closed
// connection, it would be unknown whether the amount was added.
func (c *counterConn) reusable(idleFor time.Duration) bool {
	if c.failed.Load() || idleFor > counterIdleTimeout {
		return false
	}
	if c.inFlight.Load() > 0 {
		return true
	}
	return idleFor < c.idleEstimator.limit(time.Now()) && isOpenWithoutInput(c.Conn)
}

// headOfLineBlocked reports whether the stream should replace the connection: the call whose response comes next has
// been abandoned, and the stream may open another connection.
//
// A response that never ends blocks all responses behind it. Without a new connection, calls of many customers would
// time out although the counter has served them, as if the counter were overloaded. A connection that is lost without
// notice, or on which no response arrives, has the same effect. If the counter is slow on every connection, it gets
// more connections; maxConnsPerStream is low to limit their number. A late response is still read on the old
// connection.
func (c *counterConn) headOfLineBlocked() bool {
	return c.abandonedHead() != nil && c.openConns.Load() < maxConnsPerStream
}

// isSilent reports whether the call whose response comes next has been abandoned, and no response has been read for
// counterIOTimeout.
func (c *counterConn) isSilent() bool {
	call := c.abandonedHead()
	return call != nil && time.Since(call.awaitedSince) > counterIOTimeout
}

// abandonedHead returns the call whose response comes next if it has been abandoned, and nil otherwise.
func (c *counterConn) abandonedHead() *counterCall {
	if call := c.headCall.Load(); call != nil && call.abandoned.Load() {
		return call
	}
	return nil
}

// writeCall writes a call and adds it to the pipeline, so that the reader expects its response. If the pipeline is
// full, the connection is stuck, and the call is not written. A call that is not completely written ends as
// policy.ConnectFailed.
func (c *counterConn) writeCall(call *counterCall) {
	if len(c.pipeline) == cap(c.pipeline) {
		call.report(call, policy.ConnectFailed, 0)
		return
	}
	request := fmt.Appendf(nil, "POST %s%016x?add=%s&ttl_ms=%d HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n",
		countPath, call.key, strconv.FormatFloat(call.amount, 'f', -1, 64), call.ttl.Milliseconds(), c.dialedAddress)
	c.inFlight.Add(1)
	c.SetWriteDeadline(time.Now().Add(counterIOTimeout))
	if _, err := c.Write(request); err != nil {
		// The last byte was not written, so the amount was not added.
		c.failed.Store(true)
		call.report(call, policy.ConnectFailed, 0)
		return
	}
	c.pipeline <- call
}

// readResponses reads the responses to the calls in the pipeline until the pipeline is closed. After an error, the
// calls behind the failed call end as policy.ConnectionReset, since their amounts may have been added.
func (c *counterConn) readResponses() {
	defer c.Conn.Close()
	limited := &io.LimitedReader{R: c.Conn}
	reader := bufio.NewReader(limited)
	readFailed := false
	for call := range c.pipeline {
		if readFailed {
			call.report(call, policy.ConnectionReset, 0)
			continue
		}
		call.awaitedSince = time.Now()
		c.headCall.Store(call)
		limited.N = maxCounterResponseBytes
		outcome, total, err := c.readResponse(reader, call)
		if err != nil {
			readFailed = true
			c.failed.Store(true)
			c.Conn.Close()
		}
		c.headCall.Store(nil)
		c.inFlight.Add(-1)
		call.report(call, outcome, total)
	}
}

// readResponse reads the response to the call at the head of the pipeline. It records in the idle estimator whether the
// connection broke when it was reused for the call. After an error, no further response may be read from the
// connection.
func (c *counterConn) readResponse(reader *bufio.Reader, call *counterCall) (policy.Outcome, float64, error) {
	c.SetReadDeadline(time.Now().Add(c.responseTimeout))
	if _, err := reader.Peek(1); err != nil {
		outcome := readErrorOutcome(err)
		c.idleEstimator.observe(time.Now(), call.idleFor, outcome == policy.ConnectionReset)
		return outcome, 0, err
	}
	c.idleEstimator.observe(time.Now(), call.idleFor, false)
	call.responseStarted.Store(true)
	return readTotal(reader, countRequest)
}
