package gateway

import (
	"container/list"
	"log/slog"
	"net"
	"sync"
	"time"
)

// When idle connections are closed for newcomers.
const (
	softLimitShare     = 0.8                    // of maxConns; above it newcomers replace idle connections
	evictionGrace      = 2 * time.Second        // a connection is left alone for so long after its last activity
	minEvictionGrace   = 100 * time.Millisecond // and for so long where all maxConns are in use
	evictionsPerAccept = 2                      // for each newcomer, at most
)

// clientConnections is a listener that keeps the number of client connections bounded. A listener that only stopped
// accepting at its bound would hand the gateway over to whoever connects and says nothing; usual clients would wait in
// the backlog behind them. Here a newcomer takes the place of the connection that has been without an open request for
// the longest.
type clientConnections struct {
	net.Listener
	maxConns  int
	metrics   *metrics
	log       *slog.Logger
	slotFreed chan struct{} // has an element when a connection has ended

	// Owned by the goroutine that calls Accept:
	drainStarted time.Time // when it began to empty the accept queue of a listener that is to close; zero: it has not
	acceptDelay  acceptDelay

	mu         sync.Mutex
	conns      map[*clientConn]struct{}
	idle       list.List // of *clientConn without an open request, the longest idle first
	closing    int       // number of connections with closing set
	draining   bool      // connections are closed once they are idle
	readCutoff time.Time // of a graceful shutdown: a request that is not complete by then is rejected; zero: none
}

// newClientConnections returns a table of at most maxConns connections of listener. The caller may replace its metrics
// and log before the first Accept.
func newClientConnections(listener net.Listener, maxConns int) *clientConnections {
	return &clientConnections{
		Listener:  listener,
		maxConns:  maxConns,
		metrics:   &metrics{},
		log:       slog.Default(),
		slotFreed: make(chan struct{}, 1),
		conns:     map[*clientConn]struct{}{},
	}
}

// tryAdd enters a new connection in the table, and makes capacity for further ones. It returns nil if the table is full.
func (c *clientConnections) tryAdd(netConn net.Conn) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictIdle()
	if len(c.conns) >= c.maxConns {
		return nil
	}
	conn := &clientConn{Conn: netConn, table: c, isNew: true}
	c.conns[conn] = struct{}{}
	c.markIdle(conn)
	return conn
}

// evictIdle ends connections that have been idle for long enough, if the table is above its soft limit. Their places are
// free when the server has closed them.
func (c *clientConnections) evictIdle() {
	softLimit := int(softLimitShare * float64(c.maxConns))
	now := time.Now()
	evicted := 0
	for e := c.idle.Front(); e != nil && evicted < evictionsPerAccept; e = e.Next() {
		remaining := len(c.conns) - c.closing
		if remaining <= softLimit {
			return
		}
		conn := e.Value.(*clientConn)
		idleFor := now.Sub(conn.lastActive)
		if idleFor < minEvictionGrace || idleFor < evictionGrace && remaining < c.maxConns {
			return // all others have been idle for less
		}
		if c.evict(conn) {
			evicted++
		}
	}
}

// evict ends a connection without an open request to make capacity, unless it is ending already or bytes have come that
// the server has not read. It reports whether it did.
func (c *clientConnections) evict(conn *clientConn) bool {
	if conn.closing || !isQuiet(conn.Conn) {
		return false
	}
	c.closeWhenIdle(conn)
	c.metrics.add(connectionsEvicted)
	return true
}

// closeWhenIdle ends a connection's wait for a request, or for the rest of one, now or as soon as it is idle.
func (c *clientConnections) closeWhenIdle(conn *clientConn) {
	if !conn.closing {
		conn.closing = true
		c.closing++
	}
	conn.applyReadDeadline()
}

// cancelClose takes a closeWhenIdle back.
func (c *clientConnections) cancelClose(conn *clientConn) {
	if conn.closing {
		conn.closing = false
		c.closing--
		conn.applyReadDeadline()
	}
}

// remove takes a closed connection out of the table.
func (c *clientConnections) remove(conn *clientConn) {
	c.markActive(conn)
	delete(c.conns, conn)
	select {
	case c.slotFreed <- struct{}{}:
	default: // nobody has taken the last one yet
	}
}
