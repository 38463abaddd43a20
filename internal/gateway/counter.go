package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amberlb/policy"
)

const (
	counterStreams          = 8                // streams of calls to the counter, each on a connection of its own
	maxConnsPerStream       = 4                // connections of a stream at most, those that stand still among them
	maxQueuedCalls          = 512              // calls that wait on one stream
	counterIdleTimeout      = 5 * time.Second  // well below the 10 s after which the counter closes
	counterIOTimeout        = 1 * time.Second  // an answer so late is given up with its connection, unless calls have longer
	counterIdlePollInterval = 1 * time.Second  // between looks for idle streams
	maxTotalBytes           = 64               // bytes of a total
	maxCounterTTL           = 60 * time.Second // the counter takes longer ones for this
	minCounterTTL           = time.Millisecond
	countPath               = "/v1/count/"
	maxCounterResponseBytes = 16 << 10 // bytes of an answer with its headers
)

// counterCall is one addition on the counter.
type counterCall struct {
	id      uint64 // the module's
	key     uint64
	amount  float64
	ttl     time.Duration
	sentAt  float64
	idleFor time.Duration // of its connection before it; 0: none

	// The loop's own:
	ended   bool
	outcome policy.Outcome
	total   float64

	abandoned       atomic.Bool // by the loop: not to be written any more
	responseStarted atomic.Bool // its answer has begun to come
	report          func(*counterCall, policy.Outcome, float64)
}

// counterClient makes calls over a few pipelined connections. The calls for one name
// keep to one stream, so they go out in order; a stream leaves a connection that
// stands still for a new one. The counter holds 32 connections of a gateway.
type counterClient struct {
	address       atomic.Pointer[string]
	timeout       time.Duration
	idleEstimator idleLimitEstimator
	streams       [counterStreams]chan *counterCall
	readers       sync.WaitGroup // one for each connection
}

func newCounterClient(address string, timeout time.Duration) *counterClient {
	c := &counterClient{timeout: timeout}
	c.setAddress(address)
	for i := range c.streams {
		c.streams[i] = make(chan *counterCall, maxQueuedCalls)
	}
	return c
}

// setAddress sends all further calls to another address. What is out on the old one
// may still be answered there.
func (c *counterClient) setAddress(address string) { c.address.Store(&address) }

// enqueue hands a call over without waiting. It returns false where too many wait.
func (c *counterClient) enqueue(call *counterCall) bool {
	select {
	case c.streams[call.key%counterStreams] <- call:
		return true
	default:
		return false
	}
}

// run keeps the streams until ctx ends.
func (c *counterClient) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, calls := range c.streams {
		wg.Go(func() { c.runStream(ctx, calls) })
	}
	wg.Wait()
	c.readers.Wait()
}

// runStream writes the calls of one channel.
func (c *counterClient) runStream(ctx context.Context, calls <-chan *counterCall) {
	var conn *counterConn
	var openConns atomic.Int64
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	idleTicker := time.NewTicker(counterIdlePollInterval)
	defer idleTicker.Stop()
	lastUsed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idleTicker.C:
			if conn != nil && (time.Since(lastUsed) > counterIdleTimeout || conn.host != *c.address.Load()) {
				conn.retire()
				conn = nil
			}
		case call := <-calls:
			if call.abandoned.Load() {
				call.report(call, policy.TimedOut, 0) // nobody waits; never written, so never added
				continue
			}
			idleFor := time.Since(lastUsed)
			if conn != nil && (conn.host != *c.address.Load() || !conn.reusable(idleFor) || conn.headOfLineBlocked()) {
				conn.retire()
				conn = nil
			}
			if conn != nil && conn.inFlight.Load() == 0 {
				call.idleFor = idleFor
			}
			if conn == nil {
				var err error
				if conn, err = c.dial(ctx, &openConns); err != nil {
					conn = nil
					call.report(call, policy.ConnectFailed, 0)
					continue
				}
			}
			lastUsed = time.Now()
			conn.writeCall(call)
		}
	}
}

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

var errNoTotal = errors.New("no total")

// readTotal reads the answer to a call. An answer that can't be read
// says that the amount was added and no more. After it, and where a body has no
// end of its own, the connection can't be trusted with the next call's.
func readTotal(reader *bufio.Reader, request *http.Request) (policy.Outcome, float64, error) {
	resp, err := http.ReadResponse(reader, request)
	if err != nil {
		return policy.Failed, 0, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxTotalBytes+1))
	resp.Body.Close()
	switch {
	case err != nil:
		return policy.Failed, 0, err
	case len(body) > maxTotalBytes, !hasDelimitedBody(resp):
		return policy.Failed, 0, errNoTotal
	}
	switch resp.StatusCode {
	case http.StatusOK:
		total, err := strconv.ParseFloat(strings.TrimSpace(string(body)), 64)
		if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
			return policy.Failed, 0, errNoTotal
		}
		return policy.Served, total, nil
	case http.StatusServiceUnavailable:
		return policy.Rejected, 0, nil
	case http.StatusBadRequest, http.StatusNotFound:
		return policy.ConnectFailed, 0, nil // nothing was added
	}
	return policy.ConnectionReset, 0, fmt.Errorf("status %s", resp.Status) // which proves nothing
}

// hasDelimitedBody tells whether the end of a body is told by a length or by chunks.
// One that ends with its connection looks whole when it was cut.
func hasDelimitedBody(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
