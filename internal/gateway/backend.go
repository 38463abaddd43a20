package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"amberlb/policy"
)

const (
	maxBodyBytes        = 64 << 10               // bytes of a body, either way
	maxPreallocatedBody = 4 << 10                // bytes that a body may claim and get memory for at once
	maxResponseBytes    = 128 << 10              // bytes of an answer with its headers and framing
	maxInterimResponses = 8                      // 1xx answers before the real one
	idleTimeoutMargin   = time.Second            // a connection is not used again so close to the backend's limit
	reuseDelay          = 10 * time.Millisecond  // after an answer, before the connection is used again
	sweepInterval       = 500 * time.Millisecond // between searches for connections idle too long
	unprocessedHeader   = "X-Unprocessed"
	timeLeftHeader      = "X-Time-Left-Ms"
	loadHeader          = "X-Backend-Load"
)

// attemptResult is what became of an attempt.
type attemptResult struct {
	outcome policy.Outcome
	header  http.Header // of a served answer
	body    []byte
}

// attempt is one sending of a request to a backend. The loop owns all but what
// mu guards.
type attempt struct {
	request        *clientRequest
	number         int
	backend        policy.BackendID
	sentAt         float64
	deadline       float64
	socketDeadline time.Time // the deadline for sockets
	ended          bool

	ctx           context.Context // of the dial
	cancelContext context.CancelFunc

	mu           sync.Mutex
	conn         *backendConn
	cancelled    bool // off
	fullyWritten bool // the request has been written
}

// cancel ends the attempt's sending and waiting. Once it has returned, no byte
// of the request leaves any more: a dial that is up later finds it called off,
// and a connection in use is closed.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelLocked()
}

func (a *attempt) cancelLocked() {
	a.cancelContext()
	a.cancelled = true
	if a.conn != nil {
		a.conn.Close()
	}
}

// cancelUnsent does so if the request has not been written whole, and tells
// whether it was called off.
func (a *attempt) cancelUnsent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fullyWritten {
		return false
	}
	a.cancelLocked()
	return true
}

// attach takes a connection for the attempt, unless it was called off or its client
// has left.
func (a *attempt) attach(c *backendConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled || a.request.disconnected.Load() {
		return false
	}
	a.conn = c
	return true
}

// markWritten notes that nothing of the request is left to be written.
func (a *attempt) markWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fullyWritten = true
}

// detach gives the connection up. It tells whether it may be used again.
func (a *attempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.cancelled
}

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

// isQuiet looks, without waiting, whether an idle connection still stands and has
// nothing to say. What is written to one that the other side has closed
// ends as a reset, which is no proof that it had no effect.
func isQuiet(conn net.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, syscall.EAGAIN)
}

// peerClosed looks, without waiting, whether the other side has closed a connection or
// its sending. It is not seen behind bytes that nobody has read.
func peerClosed(conn net.Conn) bool {
	n, err := peek(conn)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// peek tells how many bytes, at most one, wait on a connection: 0 at its end, and
// EAGAIN where nothing has come.
func peek(conn net.Conn) (n int, err error) {
	var b [1]byte
	return receive(conn, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
}

// receive reads from the socket of a connection, whatever its deadline is. The flags must keep it from waiting. n is 0
// with no error at the connection's end; a connection without a socket has nothing.
func receive(conn net.Conn, p []byte, flags int) (n int, err error) {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	// Control and not Read, which would fail for a time-out that passed since the
	// last use, and would wait for a reader.
	closed := raw.Control(func(fd uintptr) { n, _, err = syscall.Recvfrom(int(fd), p, flags) })
	n = max(n, 0) // -1 beside an error
	if closed != nil {
		return 0, closed
	}
	return n, err
}

// endpoint is one life of a backend at one address. All of its connections end
// with it.
type endpoint struct {
	address   string
	startedAt float64
	ctx       context.Context // ends with the target; dials hang on it
	cancel    context.CancelFunc
	conns     map[*backendConn]struct{}
	idleConns []*backendConn // the most recently used last
	retired   bool
}

// connectionPools holds the connections to all backends.
type connectionPools struct {
	connectTimeout time.Duration
	idleLimit      time.Duration
	maxConns       int // connections in all
	idleEstimator  idleLimitEstimator

	mu        sync.Mutex
	endpoints map[policy.BackendID]*endpoint
	openConns int // connections and dials
}

func newConnectionPools(connectTimeout, keepAlive time.Duration, maxConns int) *connectionPools {
	return &connectionPools{connectTimeout: connectTimeout, idleLimit: max(keepAlive-idleTimeoutMargin, keepAlive/2),
		maxConns: maxConns, endpoints: map[policy.BackendID]*endpoint{}}
}

// updateEndpoint tells where a ready backend is. A new start or address retires the
// connections of the old.
func (p *connectionPools) updateEndpoint(id policy.BackendID, address string, startedAt float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.endpoints[id]
	if old != nil && old.address == address && old.startedAt >= startedAt {
		return
	}
	if old != nil {
		// What is out at an earlier life will never be answered.
		p.retire(old, old.startedAt < startedAt)
	}
	t := &endpoint{address: address, startedAt: startedAt, conns: map[*backendConn]struct{}{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	p.endpoints[id] = t
}

// removeEndpoint ends all new sending to a backend that drains or is gone, dials that
// wait among it. What is out there may still be answered.
func (p *connectionPools) removeEndpoint(id policy.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.endpoints[id]; t != nil {
		p.retire(t, false)
		delete(p.endpoints, id)
	}
}

func (p *connectionPools) retire(t *endpoint, closeInUse bool) {
	t.retired = true
	t.cancel()
	for c := range t.conns {
		if closeInUse || !c.idleSince.IsZero() {
			c.Close()
		}
	}
	for _, c := range t.idleConns {
		p.forget(c)
	}
	t.idleConns = nil
}

// forget takes a closed connection out of the table.
func (p *connectionPools) forget(c *backendConn) {
	if _, tracked := c.endpoint.conns[c]; tracked {
		delete(c.endpoint.conns, c)
		p.openConns--
	}
}

// discard closes a connection that may not be used again.
func (p *connectionPools) discard(c *backendConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c)
}

// putIdle keeps a connection for the next attempt.
func (p *connectionPools) putIdle(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.endpoint.retired {
		c.Close()
		p.forget(c)
		return
	}
	c.idleSince = time.Now()
	c.endpoint.idleConns = append(c.endpoint.idleConns, c)
}

// sweepIdle closes what has been idle too long, until ctx ends.
func (p *connectionPools) sweepIdle(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			for id, t := range p.endpoints {
				p.retire(t, true)
				delete(p.endpoints, id)
			}
			return
		case <-tick.C:
			p.mu.Lock()
			for _, t := range p.endpoints {
				p.closeIdleBefore(t, time.Now().Add(-p.idleLimit))
			}
			p.mu.Unlock()
		}
	}
}

func (p *connectionPools) closeIdleBefore(t *endpoint, before time.Time) {
	n := 0
	for ; n < len(t.idleConns) && t.idleConns[n].idleSince.Before(before); n++ {
		t.idleConns[n].Close()
		p.forget(t.idleConns[n])
	}
	t.idleConns = append(t.idleConns[:0], t.idleConns[n:]...)
}

// evictOldestIdle closes the connection that has been idle for the longest, to
// whatever backend, so that those to others don't keep one out.
func (p *connectionPools) evictOldestIdle() bool {
	var oldest *backendConn
	for _, t := range p.endpoints {
		if len(t.idleConns) > 0 && (oldest == nil || t.idleConns[0].idleSince.Before(oldest.idleSince)) {
			oldest = t.idleConns[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.endpoint.idleConns = slices.Delete(oldest.endpoint.idleConns, 0, 1)
	oldest.Close()
	p.forget(oldest)
	return true
}

var errNoConnection = errors.New("no connection to be had")

// getConn returns an idle connection to the backend, or a new one.
func (p *connectionPools) getConn(ctx context.Context, id policy.BackendID) (*backendConn, error) {
	p.mu.Lock()
	t := p.endpoints[id]
	if t == nil {
		p.mu.Unlock()
		return nil, errNoConnection
	}
	idleLimit := min(p.idleLimit, p.idleEstimator.limit(time.Now()))
	for n := len(t.idleConns) - 1; n >= 0; n-- {
		c := t.idleConns[n]
		age := time.Since(c.idleSince)
		// More than belonged to the last answer may be on its way, and would be read as the next.
		if age < reuseDelay {
			continue // where there is no room for a new one, it makes room itself
		}
		t.idleConns = slices.Delete(t.idleConns, n, n+1)
		if age < idleLimit && isQuiet(c.Conn) {
			c.idleSince, c.idleFor = time.Time{}, age
			p.mu.Unlock()
			return c, nil
		}
		c.Close()
		p.forget(c)
	}
	if p.openConns >= p.maxConns && !p.evictOldestIdle() {
		p.mu.Unlock()
		return nil, errNoConnection
	}
	p.openConns++
	p.mu.Unlock()
	c, err := p.dial(ctx, t)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && t.retired {
		c.Close()
		err = errNoConnection
	}
	if err != nil {
		p.openConns--
		return nil, err
	}
	t.conns[c] = struct{}{}
	return c, nil
}

func (p *connectionPools) dial(ctx context.Context, t *endpoint) (*backendConn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	defer context.AfterFunc(t.ctx, cancel)()
	d := net.Dialer{KeepAlive: -1} // it would not notice a silent machine in time
	conn, err := d.DialContext(ctx, "tcp", t.address)
	if err != nil {
		return nil, err
	}
	return newBackendConn(conn, t), nil
}

func newBackendConn(conn net.Conn, endpoint *endpoint) *backendConn {
	responseLimit := &io.LimitedReader{R: conn}
	return &backendConn{Conn: conn, responseLimit: responseLimit, reader: bufio.NewReader(responseLimit), writer: bufio.NewWriter(conn), endpoint: endpoint}
}

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

var errBodyTooLong = errors.New("the body is too long")

// readBody reads a whole body, of known length or not. A length is a
// claim; memory for a long one is taken only as the bytes come.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length > maxBodyBytes {
		return nil, errBodyTooLong
	}
	if length >= 0 && length <= maxPreallocatedBody {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errBodyTooLong
	}
	if err == nil && length >= 0 && int64(len(body)) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}
