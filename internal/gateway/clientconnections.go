package gateway

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	softLimitShare       = 0.8                    // of the connections; above it newcomers replace those that stand idle
	evictionGrace        = 2 * time.Second        // a connection is left alone so long after its last sign of life
	minEvictionGrace     = 100 * time.Millisecond // and so long where there is no room at all
	capacityPollInterval = 10 * time.Millisecond  // between looks for room
	drainPollInterval    = 100 * time.Millisecond // and for idle ones at the end
)

// clientConnections keeps the connections of clients within a bound. A listener that only stopped accepting at its bound would
// hand the gateway over to whoever connects and says nothing; usual clients would wait in the backlog behind them. Here
// a newcomer takes the place of the connection that has been without an open request for the longest.
type clientConnections struct {
	net.Listener
	maxConns  int
	metrics   *metrics
	log       *slog.Logger
	slotFreed chan struct{} // a connection has ended

	// Accept's own:
	drainStarted time.Time // since when it empties the queue before a stop closes it; zero: it doesn't
	acceptDelay  acceptDelay

	mu         sync.Mutex
	conns      map[*clientConn]struct{}
	idle       list.List // of *clientConn without an open request, the longest idle first
	closing    int       // idle ones whose end is on its way
	draining   bool      // connections end once they are idle
	readCutoff time.Time // of a stop: a request that isn't whole by then is refused; zero: none
}

func newClientConnections(l net.Listener, maxConns int) *clientConnections {
	return &clientConnections{Listener: l, maxConns: maxConns, metrics: &metrics{}, log: slog.Default(), slotFreed: make(chan struct{}, 1), conns: map[*clientConn]struct{}{}}
}

// The pauses between accepts that fail.
const (
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
)

const (
	drainAcceptAttempts = 3                      // looks for connections in the queue, in a row, that find none
	drainAcceptTimeout  = 5 * time.Millisecond   // each
	maxDrainAcceptTime  = 100 * time.Millisecond // for the queue, where new ones keep coming
)

// tryAdd enters a new connection, if there is room for it. Once the soft bound is passed, it ends those that have been
// idle for long enough, two for each newcomer; their room is there when their servers have closed them.
func (c *clientConnections) tryAdd(netConn net.Conn) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	softLimit := int(softLimitShare * float64(c.maxConns))
	now, evicted := time.Now(), 0
	for e := c.idle.Front(); e != nil && evicted < 2 && len(c.conns)-c.closing > softLimit; e = e.Next() {
		conn := e.Value.(*clientConn)
		idleFor := now.Sub(conn.lastActive)
		if idleFor < minEvictionGrace || idleFor < evictionGrace && len(c.conns)-c.closing < c.maxConns {
			break // all others have been idle for less
		}
		if c.evict(conn) {
			evicted++
		}
	}
	if len(c.conns) >= c.maxConns {
		return nil
	}
	conn := &clientConn{Conn: netConn, table: c, isNew: true}
	c.conns[conn] = struct{}{}
	c.markIdle(conn)
	return conn
}

// evict ends a connection without an open request to make room, unless it is ending already or something has come on it
// that the server has not read.
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

// markIdle puts a connection behind all others that are idle.
func (c *clientConnections) markIdle(conn *clientConn) {
	conn.lastActive, conn.idleElement = time.Now(), c.idle.PushBack(conn)
	conn.phase.Store(phaseIdle)
}

// markReading notes that a request has begun to come. It gets the time of a new connection to be whole, whatever was to end
// the wait for it.
func (c *clientConnections) markReading(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.idleElement == nil {
		return
	}
	conn.phase.Store(phaseReading)
	conn.lastActive = time.Now()
	c.idle.MoveToBack(conn.idleElement)
	c.cancelClose(conn)
	if minDeadline := conn.lastActive.Add(readTimeout); !conn.isNew && conn.readDeadline.Before(minDeadline) {
		conn.readDeadline = minDeadline // the server's was for the wait alone
	}
	conn.applyReadDeadline()
}

// cancelClose takes back that a connection is to end.
func (c *clientConnections) cancelClose(conn *clientConn) {
	if conn.closing {
		conn.closing = false
		c.closing--
		conn.applyReadDeadline()
	}
}

// onConnState follows what the server does with a connection.
func (c *clientConnections) onConnState(netConn net.Conn, connState http.ConnState) {
	conn := netConn.(*clientConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, tracked := c.conns[conn]; !tracked {
		return
	}
	switch connState {
	case http.StateActive:
		c.markActive(conn)
		conn.isNew = false
	case http.StateIdle:
		c.markIdle(conn)
		switch {
		case len(conn.pipelined) > 0:
			conn.phase.Store(phaseReading)
		case c.draining:
			c.closeWhenIdle(conn)
		}
	case http.StateClosed, http.StateHijacked:
		c.forget(conn)
	}
}

// markActive takes a connection out of those that are idle.
func (c *clientConnections) markActive(conn *clientConn) {
	conn.phase.Store(phaseOpen)
	c.cancelClose(conn)
	if conn.idleElement != nil {
		c.idle.Remove(conn.idleElement)
		conn.idleElement = nil
	}
}

// forget takes a closed connection out of the table.
func (c *clientConnections) forget(conn *clientConn) {
	c.markActive(conn)
	delete(c.conns, conn)
	select {
	case c.slotFreed <- struct{}{}:
	default:
	}
}
