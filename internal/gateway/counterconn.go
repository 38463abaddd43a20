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

// counterConn is one connection: calls go out in order and so do the answers
// come. A call that was given up keeps its place, so that its late answer is
// not taken for the next call's.
type counterConn struct {
	net.Conn
	host            string
	failed          atomic.Bool
	inFlight        atomic.Int64                // calls without an answer
	headCall        atomic.Pointer[counterCall] // whose answer comes next
	pipeline        chan *counterCall           // written, in order
	openConns       *atomic.Int64               // connections of its stream
	idleEstimator   *idleLimitEstimator         // the counter's
	responseTimeout time.Duration               // an answer so late is given up
	retireOnce      sync.Once
}

// dial opens a connection and counts it in open until it has ended.
func (c *counterClient) dial(ctx context.Context, openConns *atomic.Int64) (*counterConn, error) {
	d := net.Dialer{Timeout: c.timeout, KeepAlive: -1}
	address := *c.address.Load()
	netConn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &counterConn{Conn: netConn, host: address, pipeline: make(chan *counterCall, maxQueuedCalls), openConns: openConns,
		idleEstimator: &c.idleEstimator, responseTimeout: max(counterIOTimeout, c.timeout)}
	openConns.Add(1)
	c.readers.Go(func() {
		defer openConns.Add(-1)
		conn.readReplies()
	})
	return conn, nil
}

// retire takes no more calls; the connection ends with its reader, once what is
// out has been answered or given up. Only the stream's writer calls it, so nothing
// joins waiting afterwards.
func (c *counterConn) retire() { c.retireOnce.Do(func() { close(c.pipeline) }) }

// Close ends the connection at once; its reader reports what is still out.
func (c *counterConn) Close() error {
	c.retire()
	return c.Conn.Close()
}

// reusable tells whether another call may be written after a rest. The counter may
// close an idle connection sooner than agreed, and a call written then is in doubt.
func (c *counterConn) reusable(idleFor time.Duration) bool {
	return !c.failed.Load() && idleFor <= counterIdleTimeout &&
		(c.inFlight.Load() > 0 || idleFor < c.idleEstimator.limit(time.Now()) && isQuiet(c.Conn))
}

// headOfLineBlocked tells whether the stream should leave a connection, since the call whose
// answer is due has been given up and another connection may be had. An
// answer that never ends holds up all answers behind it, and so calls that the
// counter has served would time out, for many customers, as if it were crowded.
// This covers a lost or silent connection as well. It could hurt with a counter
// that is slow for all, which gets more connections from it, so these are few;
// an answer that comes late is still read where it comes.
func (c *counterConn) headOfLineBlocked() bool {
	call := c.headCall.Load()
	return call != nil && call.abandoned.Load() && c.openConns.Load() < maxConnsPerStream
}

// writeCall writes one call. Its answer is read only once it stands in the line;
// where the line is full the connection is stuck.
func (c *counterConn) writeCall(call *counterCall) {
	if len(c.pipeline) == cap(c.pipeline) {
		call.report(call, policy.ConnectFailed, 0)
		return
	}
	request := fmt.Appendf(nil, "POST %s%016x?add=%s&ttl_ms=%d HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n",
		countPath, call.key, strconv.FormatFloat(call.amount, 'f', -1, 64), call.ttl.Milliseconds(), c.host)
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

// readReplies takes the answers in. What is out when the connection ends may have been
// added.
func (c *counterConn) readReplies() {
	defer c.Conn.Close()
	responseLimit := &io.LimitedReader{R: c.Conn}
	reader := bufio.NewReader(responseLimit)
	request := &http.Request{Method: http.MethodPost}
	failed := false
	for call := range c.pipeline {
		if failed {
			call.report(call, policy.ConnectionReset, 0)
			continue
		}
		c.headCall.Store(call)
		responseLimit.N = maxCounterResponseBytes
		c.SetReadDeadline(time.Now().Add(c.responseTimeout))
		outcome, total, err := policy.Failed, 0.0, error(nil)
		if _, err = reader.Peek(1); err != nil {
			outcome = readErrorOutcome(err)
			c.idleEstimator.observe(time.Now(), call.idleFor, outcome == policy.ConnectionReset)
		} else {
			c.idleEstimator.observe(time.Now(), call.idleFor, false)
			call.responseStarted.Store(true)
			outcome, total, err = readTotal(reader, request)
		}
		if err != nil {
			failed = true
			c.failed.Store(true)
			c.Conn.Close()
		}
		c.headCall.Store(nil)
		c.inFlight.Add(-1)
		call.report(call, outcome, total)
	}
}
