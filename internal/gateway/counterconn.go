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
	counterIOTimeout        = 1 * time.Second // of a write, and of an answer unless calls have longer
	maxCounterResponseBytes = 16 << 10        // bytes of an answer with its headers
)

// countRequest tells http.ReadResponse that an answer is to a POST, so that it has a body. It is never
// changed.
var countRequest = &http.Request{Method: http.MethodPost}

// counterConn is one pipelined connection: calls are written in order, and their answers arrive in the same
// order. An abandoned call keeps its place in the pipeline, so that its late answer is not taken for the
// next call's. The stream's goroutine writes; one reader goroutine, counted in counterClient.readers, reads
// and closes.
type counterConn struct {
	net.Conn
	dialedAddress   string
	responseTimeout time.Duration               // the connection is given up when an answer takes longer
	idleEstimator   *idleLimitEstimator         // of the counter, shared by its connections
	openConns       *atomic.Int64               // the stream's, this one among them until its reader ends
	pipeline        chan *counterCall           // calls that have been written, in order
	inFlight        atomic.Int64                // calls without an answer
	headCall        atomic.Pointer[counterCall] // the call whose answer is read next
	failed          atomic.Bool                 // no further call may be written
	retireOnce      sync.Once
}

// dial opens a connection and starts its reader. It counts the connection in openConns until the reader has
// ended.
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
		responseTimeout: max(counterIOTimeout, c.timeout),
		idleEstimator:   &c.idleEstimator,
		openConns:       openConns,
		pipeline:        make(chan *counterCall, maxQueuedCalls),
	}
	openConns.Add(1)
	c.readers.Go(func() {
		defer openConns.Add(-1)
		conn.readReplies()
	})
	return conn, nil
}

// retire takes no more calls; the connection ends with its reader, once the calls in flight have been
// answered or given up. Only the stream's goroutine calls it, so no call is added to the pipeline
// afterwards.
func (c *counterConn) retire() { c.retireOnce.Do(func() { close(c.pipeline) }) }

// Close ends the connection at once; its reader reports the calls in flight.
func (c *counterConn) Close() error {
	c.retire()
	return c.Conn.Close()
}

// reusable reports whether another call may be written after an idle time. The counter may close an idle
// connection sooner than agreed, and it would be in doubt whether a call written then has been added.
func (c *counterConn) reusable(idleFor time.Duration) bool {
	if c.failed.Load() || idleFor > counterIdleTimeout {
		return false
	}
	if c.inFlight.Load() > 0 {
		return true
	}
	return idleFor < c.idleEstimator.limit(time.Now()) && isQuiet(c.Conn)
}

// headOfLineBlocked reports whether the stream should leave a connection, since the call whose answer is next
// has been abandoned and another connection may be opened. An answer that never ends blocks all answers
// behind it, and so calls that the counter has served would time out, for many customers, as if it were
// overloaded. This covers a lost or silent connection as well. It could do harm with a counter that is slow
// for all, which gets more connections from it, so these are few; an answer that arrives late is still read
// on its connection.
func (c *counterConn) headOfLineBlocked() bool {
	call := c.headCall.Load()
	return call != nil && call.abandoned.Load() && c.openConns.Load() < maxConnsPerStream
}

// writeCall writes one call and adds it to the pipeline, from which its answer is read. Where the pipeline
// is full the connection is stuck, and the call fails.
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
		// The last byte was not written, so nothing was added.
		c.failed.Store(true)
		call.report(call, policy.ConnectFailed, 0)
		return
	}
	c.pipeline <- call
}

// readReplies reads the answers to the calls in the pipeline until it is closed. Calls behind a failed one
// end as ConnectionReset: they may have been added.
func (c *counterConn) readReplies() {
	defer c.Conn.Close()
	limited := &io.LimitedReader{R: c.Conn}
	reader := bufio.NewReader(limited)
	readFailed := false
	for call := range c.pipeline {
		if readFailed {
			call.report(call, policy.ConnectionReset, 0)
			continue
		}
		c.headCall.Store(call)
		limited.N = maxCounterResponseBytes
		outcome, total, err := c.readReply(reader, call)
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

// readReply reads the answer to the call at the head of the pipeline, and lets the idle estimator learn
// from it. After an error no further answer may be read from the connection.
func (c *counterConn) readReply(reader *bufio.Reader, call *counterCall) (policy.Outcome, float64, error) {
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
