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
