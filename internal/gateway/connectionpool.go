package gateway

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"amberlb/policy"
)

const (
	idleTimeoutMargin = time.Second            // maximum time between idleLimit and the backend's idle timeout
	reuseDelay        = 10 * time.Millisecond  // minimum time between a response and the reuse of its connection
	sweepInterval     = 500 * time.Millisecond // time between two sweeps of sweepIdle
)

// Errors that getConn returns in addition to the errors of a failed dial.
var (
	errNotListed       = errors.New("backend is not in the endpoint list")
	errEndpointRetired = errors.New("backend was removed, restarted or moved while it was dialed")
	errTooManyConns    = errors.New("connection limit reached and no connection is idle")
)

// connectionPools holds the connections to all backends, one pool per endpoint. It is the transport of the real
// gateway; a hollow gateway has a hollowTransport instead.
//
// A connection is either idle or in use by one attempt. In both states the connection is in endpoint.conns. Over all
// endpoints, at most maxConns connections are open or being dialed. When an endpoint is retired, its idle connections
// are closed at once. A connection in use is closed when its attempt gives the connection back, or earlier.
type connectionPools struct {
	connectTimeout time.Duration
	idleLimit      time.Duration // idle time after which a connection is closed
	maxConns       int           // maximum of openConns
	idleEstimator  idleLimitEstimator
	memory         *memoryBudget // for the bytes of responses

	mu        sync.Mutex // guards the fields below, backendConn.idleSince, and endpoint's conns, idleConns and retired
	endpoints map[policy.BackendID]*endpoint
	openConns int // number of open connections and running dials, also to retired endpoints
}

// newConnectionPools returns connectionPools without endpoints. backendIdleTimeout is the idle time after which a
// backend closes a connection. The pools close a connection earlier, by idleTimeoutMargin or half of
// backendIdleTimeout, whichever is shorter. The memory for responses is unlimited; the caller may replace the field
// memory before the first request.
func newConnectionPools(connectTimeout, backendIdleTimeout time.Duration, maxConns int) *connectionPools {
	return &connectionPools{
		connectTimeout: connectTimeout,
		idleLimit:      max(backendIdleTimeout-idleTimeoutMargin, backendIdleTimeout/2),
		maxConns:       maxConns,
		memory:         newUnlimitedBudget(responsesKind),
		endpoints:      map[policy.BackendID]*endpoint{},
	}
}

// getConn returns an idle connection to the backend, or dials a new connection. The caller must give the connection
// back with putIdle or discard. If getConn returns an error, nothing has been sent.
func (p *connectionPools) getConn(ctx context.Context, id policy.BackendID) (*backendConn, error) {
	e, idle, err := p.takeIdleOrReserve(id)
	if err != nil {
		return nil, err
	}
	if idle != nil {
		return idle, nil
	}
	return p.dialReserved(ctx, e)
}

// takeIdleOrReserve returns the backend's endpoint and an idle connection to it. If no idle connection can be reused,
// it reserves a place in openConns for the caller's dial, and returns a nil connection. It returns an error if the
// backend is not listed, or if maxConns is reached and no idle connection can be evicted.
func (p *connectionPools) takeIdleOrReserve(id policy.BackendID) (*endpoint, *backendConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil {
		return nil, nil, errNotListed
	}
	if conn := p.takeIdle(e); conn != nil {
		return e, conn, nil
	}
	if p.openConns >= p.maxConns && !p.evictLongestIdle() {
		return nil, nil, errTooManyConns
	}
	p.openConns++
	return e, nil, nil
}

// takeIdle returns the most recently used idle connection that may be reused, or nil if there is none. It closes each
// connection that it finds idle for too long, closed by the backend, or with unread bytes. The caller holds mu.
func (p *connectionPools) takeIdle(e *endpoint) *backendConn {
	reuseLimit := min(p.idleLimit, p.idleEstimator.limit(time.Now()))
	for n := len(e.idleConns) - 1; n >= 0; n-- {
		conn := e.idleConns[n]
		idleTime := time.Since(conn.idleSince)
		// Surplus bytes after the last response may still arrive, and would be read as the next response.
		if idleTime < reuseDelay {
			continue // the connection stays idle, and can be evicted at the connection limit
		}
		e.idleConns = slices.Delete(e.idleConns, n, n+1)
		if idleTime < reuseLimit && isOpenWithoutInput(conn.Conn) {
			conn.idleSince = time.Time{}
			conn.idleFor = idleTime
			return conn
		}
		conn.Close()
		p.untrack(conn)
	}
	return nil
}

// evictLongestIdle closes the connection that has been idle the longest, over all backends. It returns false if no
// connection is idle. Without eviction, at the connection limit, idle connections to some backends could prevent a new
// connection to another backend. The caller holds mu.
func (p *connectionPools) evictLongestIdle() bool {
	var longestIdle *backendConn
	for _, e := range p.endpoints {
		if len(e.idleConns) > 0 && (longestIdle == nil || e.idleConns[0].idleSince.Before(longestIdle.idleSince)) {
			longestIdle = e.idleConns[0]
		}
	}
	if longestIdle == nil {
		return false
	}
	longestIdle.endpoint.idleConns = slices.Delete(longestIdle.endpoint.idleConns, 0, 1)
	longestIdle.Close()
	p.untrack(longestIdle)
	return true
}

// dialReserved opens a connection for which takeIdleOrReserve has reserved a place in openConns, and adds it to
// endpoint.conns. If the dial fails or the endpoint has been retired, it releases the reserved place and returns an
// error.
func (p *connectionPools) dialReserved(ctx context.Context, e *endpoint) (*backendConn, error) {
	conn, err := p.dial(ctx, e)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && e.retired {
		conn.Close()
		err = errEndpointRetired
	}
	if err != nil {
		p.openConns--
		return nil, err
	}
	e.conns[conn] = struct{}{}
	return conn, nil
}

// dial connects to an endpoint. It gives up when connectTimeout passes, ctx ends or the endpoint is retired.
func (p *connectionPools) dial(ctx context.Context, e *endpoint) (*backendConn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	stop := context.AfterFunc(e.ctx, cancel)
	defer stop()
	dialer := net.Dialer{KeepAlive: -1} // no TCP keep-alive: its probes would detect an unresponsive host too late
	startedAt := unixSeconds(time.Now())
	netConn, err := dialer.DialContext(ctx, "tcp", e.address)
	if err != nil {
		return nil, err
	}
	conn := newBackendConn(netConn, e, p.memory)
	conn.dialedAt = startedAt
	return conn, nil
}

// putIdle returns a connection to its pool, where other attempts can reuse it. If the connection's endpoint has been
// retired, putIdle closes the connection.
func (p *connectionPools) putIdle(conn *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.endpoint.retired {
		conn.Close()
		p.untrack(conn)
		return
	}
	conn.idleSince = time.Now()
	conn.endpoint.idleConns = append(conn.endpoint.idleConns, conn)
}

// discard closes a connection that must not be reused.
func (p *connectionPools) discard(conn *backendConn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.untrack(conn)
}

// untrack removes a closed connection from endpoint.conns and releases its place in openConns. It does nothing if the
// connection has been removed before. The caller holds mu.
func (p *connectionPools) untrack(conn *backendConn) {
	if _, tracked := conn.endpoint.conns[conn]; tracked {
		delete(conn.endpoint.conns, conn)
		p.openConns--
	}
}

// sweepIdle periodically closes the connections that have been idle for longer than idleLimit. When ctx ends, it
// retires all endpoints, closes their connections and returns.
func (p *connectionPools) sweepIdle(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.retireAll()
			return
		case <-tick.C:
			p.closeExpired()
		}
	}
}

// retireAll retires all endpoints and closes their connections, even connections in use.
func (p *connectionPools) retireAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.endpoints {
		p.retire(e, true)
		delete(p.endpoints, id)
	}
}

// closeExpired closes the connections that have been idle for longer than idleLimit.
func (p *connectionPools) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		p.closeIdleBefore(e, time.Now().Add(-p.idleLimit))
	}
}

// closeIdleBefore closes the connections of an endpoint that became idle before the given time. The caller holds mu.
func (p *connectionPools) closeIdleBefore(e *endpoint, before time.Time) {
	expired := 0
	for expired < len(e.idleConns) && e.idleConns[expired].idleSince.Before(before) {
		e.idleConns[expired].Close()
		p.untrack(e.idleConns[expired])
		expired++
	}
	e.idleConns = append(e.idleConns[:0], e.idleConns[expired:]...)
}
