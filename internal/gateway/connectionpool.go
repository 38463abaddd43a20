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
	idleTimeoutMargin = time.Second            // a connection is not reused so close to the backend's own idle limit
	reuseDelay        = 10 * time.Millisecond  // after a response, before its connection is reused
	sweepInterval     = 500 * time.Millisecond // between searches for connections that have been idle too long
)

// Why there is no connection for an attempt, beside a dial that failed.
var (
	errNotListed       = errors.New("the backend is not listed")
	errEndpointRetired = errors.New("the backend has been removed or has moved meanwhile")
	errTooManyConns    = errors.New("too many connections are open, and none of them is idle")
)

// connectionPools holds the connections to all backends, a pool for each endpoint. It is the transport of a gateway
// with sockets.
//
// A connection is in use by one attempt, or idle; both are in the table of its endpoint until they are closed. At most
// maxConns are open or being dialled. Once the endpoint is retired, the one that uses a connection closes it.
type connectionPools struct {
	connectTimeout time.Duration
	idleLimit      time.Duration // an idle connection is reused for so long at most, and then closed
	maxConns       int           // connections and dials, to all backends together
	idleEstimator  idleLimitEstimator

	mu        sync.Mutex // guards what follows, and the same for each endpoint and connection in it
	endpoints map[policy.BackendID]*endpoint
	openConns int // connections and dials, those of retired endpoints among them
}

// newConnectionPools returns pools without endpoints. backendIdleTimeout is the time after which a backend closes an
// idle connection.
func newConnectionPools(connectTimeout, backendIdleTimeout time.Duration, maxConns int) *connectionPools {
	return &connectionPools{
		connectTimeout: connectTimeout,
		idleLimit:      max(backendIdleTimeout-idleTimeoutMargin, backendIdleTimeout/2),
		maxConns:       maxConns,
		endpoints:      map[policy.BackendID]*endpoint{},
	}
}

// getConn returns an idle connection to the backend, or a new one. It is the caller's until putIdle or discard. On an
// error nothing has been sent.
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

// takeIdleOrReserve returns the backend's endpoint and an idle connection to it. Where none may be reused, the
// connection is nil, and a dial by the caller has been counted in openConns.
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
	if p.openConns >= p.maxConns && !p.evictOldestIdle() {
		return nil, nil, errTooManyConns
	}
	p.openConns++
	return e, nil, nil
}

// takeIdle returns the most recently used idle connection that may be reused, and nil where there is none. It closes
// those that it finds to be too old or closed by the backend. The caller holds mu.
func (p *connectionPools) takeIdle(e *endpoint) *backendConn {
	idleLimit := min(p.idleLimit, p.idleEstimator.limit(time.Now()))
	for n := len(e.idleConns) - 1; n >= 0; n-- {
		conn := e.idleConns[n]
		age := time.Since(conn.idleSince)
		// More than belonged to the last response may be on its way, and would be read as the next one.
		if age < reuseDelay {
			continue // at the limit of connections it may be evicted for a new one
		}
		e.idleConns = slices.Delete(e.idleConns, n, n+1)
		if age < idleLimit && isQuiet(conn.Conn) {
			conn.idleSince = time.Time{}
			conn.idleFor = age
			return conn
		}
		conn.Close()
		p.untrack(conn)
	}
	return nil
}

// evictOldestIdle closes the connection that has been idle for the longest, to whatever backend, so that those to
// others don't keep a new one out. It returns false where none is idle. The caller holds mu.
func (p *connectionPools) evictOldestIdle() bool {
	var oldest *backendConn
	for _, e := range p.endpoints {
		if len(e.idleConns) > 0 && (oldest == nil || e.idleConns[0].idleSince.Before(oldest.idleSince)) {
			oldest = e.idleConns[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.endpoint.idleConns = slices.Delete(oldest.endpoint.idleConns, 0, 1)
	oldest.Close()
	p.untrack(oldest)
	return true
}

// dialReserved opens a connection that openConns counts already, and enters it in the table. If it fails, openConns
// counts it no longer.
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

// dial connects to an endpoint, unless the time for it, ctx or the endpoint ends first.
func (p *connectionPools) dial(ctx context.Context, e *endpoint) (*backendConn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	unlink := context.AfterFunc(e.ctx, cancel)
	defer unlink()
	dialer := net.Dialer{KeepAlive: -1} // keep-alive probes would not notice a silent machine in time
	conn, err := dialer.DialContext(ctx, "tcp", e.address)
	if err != nil {
		return nil, err
	}
	return newBackendConn(conn, e), nil
}

// putIdle gives back a connection that may be reused by another attempt.
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

// discard gives back a connection that may not be reused, and closes it.
func (p *connectionPools) discard(conn *backendConn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.untrack(conn)
}

// untrack takes a closed connection out of the table of its endpoint, if it is there. The caller holds mu.
func (p *connectionPools) untrack(conn *backendConn) {
	if _, tracked := conn.endpoint.conns[conn]; tracked {
		delete(conn.endpoint.conns, conn)
		p.openConns--
	}
}

// sweepIdle closes connections that have been idle too long until ctx ends, and then all.
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

// retireAll retires all endpoints and closes their connections, those in use too.
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

// closeIdleBefore closes the connections of an endpoint that have been idle since before a time. The caller holds mu.
func (p *connectionPools) closeIdleBefore(e *endpoint, before time.Time) {
	expired := 0
	for expired < len(e.idleConns) && e.idleConns[expired].idleSince.Before(before) {
		e.idleConns[expired].Close()
		p.untrack(e.idleConns[expired])
		expired++
	}
	e.idleConns = append(e.idleConns[:0], e.idleConns[expired:]...)
}
