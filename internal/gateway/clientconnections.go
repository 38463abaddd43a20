package gateway

import (
	"container/list"
	"log/slog"
	"net"
	"sync"
	"time"
)

// When idle connections are evicted for new ones.
const (
	softLimitShare     = 0.8                    // of maxConns; above it new connections replace idle ones
	evictionGrace      = 2 * time.Second        // a connection is not evicted until this long after its last activity
	minEvictionGrace   = 100 * time.Millisecond // the same while all maxConns are in use
	maxEvictionsPerAdd = 2                      // for each new connection, at most
)

// clientConnections is a listener that keeps the client connections in a table and limits their number. If it only
// stopped accepting at the limit, clients that connect and send nothing could take all connections, and other clients
// would wait in the backlog behind them. Instead, a new connection replaces the one that has been without an open
// request for the longest time.
type clientConnections struct {
	net.Listener
	maxConns  int
	metrics   *metrics
	log       *slog.Logger
	slotFreed chan struct{} // has an element when a connection has been removed

	// Owned by the goroutine that calls Accept:
	drainStarted time.Time // when it began to empty the accept queue before closing the listener; zero: it has not
	acceptDelay  acceptDelay

	mu           sync.Mutex
	conns        map[*clientConn]struct{}
	idle         list.List // of *clientConn without an open request, the longest idle first
	closingCount int       // number of connections with closing set
	draining     bool      // connections are closed once they are idle
	readCutoff   time.Time // of a graceful shutdown: a request that is incomplete then is rejected; zero: none
}

// newClientConnections returns a table for at most maxConns connections accepted from listener. The caller may
// replace its metrics and log before the first Accept.
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

// tryAdd adds a new connection to the table, after evicting idle connections where needed. It returns nil if the
// table is full.
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

// evictIdle evicts connections that have been idle for long enough, if the table is above its soft limit. Their slots
// are free once the server has closed them.
func (c *clientConnections) evictIdle() {
	softLimit := int(softLimitShare * float64(c.maxConns))
	now := time.Now()
	evicted := 0
	for e := c.idle.Front(); e != nil && evicted < maxEvictionsPerAdd; e = e.Next() {
		remaining := len(c.conns) - c.closingCount
		if remaining <= softLimit {
			return
		}
		conn := e.Value.(*clientConn)
		idleFor := now.Sub(conn.lastActive)
		if idleFor < minEvictionGrace || idleFor < evictionGrace && remaining < c.maxConns {
			return // the other connections have been idle for a shorter time
		}
		if c.evict(conn) {
			evicted++
		}
	}
}

// evict closes a connection without an open request to free its slot. It does nothing if the connection is already
// closing, or if bytes have arrived that the server has not read. It reports whether it evicted the connection.
func (c *clientConnections) evict(conn *clientConn) bool {
	if conn.closing || !isOpenWithoutInput(conn.Conn) {
		return false
	}
	c.closeWhenIdle(conn)
	c.metrics.add(connectionsEvicted)
	return true
}

// closeWhenIdle ends the server's wait for a request, or for the rest of a request, on a connection: at once, or as
// soon as the wait begins. The server then closes the connection.
func (c *clientConnections) closeWhenIdle(conn *clientConn) {
	if !conn.closing {
		conn.closing = true
		c.closingCount++
	}
	conn.applyReadDeadline()
}

// cancelClose undoes closeWhenIdle.
func (c *clientConnections) cancelClose(conn *clientConn) {
	if conn.closing {
		conn.closing = false
		c.closingCount--
		conn.applyReadDeadline()
	}
}

// remove removes a closed connection from the table.
func (c *clientConnections) remove(conn *clientConn) {
	c.markActive(conn)
	delete(c.conns, conn)
	select {
	case c.slotFreed <- struct{}{}:
	default: // an element is already in the channel
	}
}
