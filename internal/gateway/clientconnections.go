package gateway

import (
	"container/list"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the eviction of idle connections in favor of new connections.
const (
	softLimitShare     = 0.8                    // share of maxConns above which new connections evict idle ones
	evictionGrace      = 2 * time.Second        // time without activity after which a connection may be evicted
	minEvictionGrace   = 100 * time.Millisecond // replaces evictionGrace while the table is full (see evictIdle)
	floodShare         = 0.1                    // share of maxConns; more incomplete requests are a flood
	maxEvictionsPerAdd = 2                      // maximum number of evictions in one call of tryAdd
)

// clientConnections is a listener that keeps the client connections in a table and limits their number. If it only
// stopped accepting at the limit, clients that connect and send nothing could occupy all slots, and other clients
// would wait in the kernel's accept queue. Instead, a new connection evicts idle connections, which are connections
// without an open request. The connections without activity for the longest time are evicted first.
type clientConnections struct {
	net.Listener
	queue    acceptQueue // of the listener
	maxConns int
	metrics  *metrics
	memory   *memoryBudget // for the bytes of requests
	delay    *schedulingDelay
	log      *slog.Logger

	kernelClock kernelClock

	retryAfter  string        // Retry-After of answers to requests that are not read to their end; "": none
	maxHeadWait time.Duration // longest wait of a request's head for memory
	maxSlotWait time.Duration // wait in the accept queue after which there is no further wait

	// slotWanted is set while a new connection waits for a slot of the full table. Connections whose requests have stopped
	// arriving are then closed.
	slotWanted atomic.Bool

	slotFreed chan struct{} // receives an element when a connection is removed

	// Owned by the goroutine that calls Accept:
	drainStarted time.Time // time of the first call of acceptQueued; zero: not called yet
	acceptDelay  acceptDelay
	staysFull    bool // the last connection got no slot in time

	mu           sync.Mutex
	conns        map[*clientConn]struct{}
	idle         list.List // values *clientConn: the connections without an open request, ordered by lastActive
	closingCount int       // number of connections whose closing is set

	incompleteCount int       // number of connections that wait for the rest of a request (see clientConn.wakeAt)
	draining        bool      // each connection is closed when it becomes idle
	readCutoff      time.Time // time at which a graceful shutdown rejects incomplete requests; zero: no shutdown
}

// newClientConnections returns a table for at most maxConns connections accepted from listener. The caller may
// replace the metrics, the memory and the log of the table before the first Accept; the memory is unlimited at first.
func newClientConnections(listener net.Listener, maxConns int) *clientConnections {
	return &clientConnections{
		Listener:    listener,
		queue:       acceptQueueOf(listener),
		acceptDelay: newAcceptDelay(time.Now()),
		maxConns:    maxConns,
		metrics:     &metrics{},
		memory:      newUnlimitedBudget(requestsKind),
		delay:       newSchedulingDelay(),
		log:         slog.Default(),
		maxSlotWait: minMaxSlotWait,
		slotFreed:   make(chan struct{}, 1),
		conns:       map[*clientConn]struct{}{},
	}
}

// tryAdd evicts idle connections if the table is above its soft limit, and then adds a new connection to the table. It
// returns nil if the table is full.
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

// evictIdle evicts idle connections while the table is above its soft limit, maxEvictionsPerAdd at most. Connections with
// an incomplete request, and those that have never brought one, make room before those that have been served. The latter
// keep their slots while more than floodShare of the slots have an incomplete request: endStalled makes room then. The
// slot of an evicted connection becomes free when the server has closed the connection.
func (c *clientConnections) evictIdle() {
	evicted := c.evictMatching(func(conn *clientConn) bool { return conn.isNew || conn.phase.load() == phaseReading }, 0)
	if float64(c.incompleteCount) <= floodShare*float64(c.maxConns) {
		c.evictMatching(func(*clientConn) bool { return true }, evicted)
	}
}

// evictMatching evicts the idle connections that match, in the order of their last activity, and returns the number of
// evicted connections, including those that were evicted before. A connection must have been without activity for
// evictionGrace. If the table is full, minEvictionGrace is sufficient. Connections that are already closing don't count
// towards the soft limit or a full table.
func (c *clientConnections) evictMatching(matches func(*clientConn) bool, evicted int) int {
	softLimit := int(softLimitShare * float64(c.maxConns))
	now := time.Now()
	for e := c.idle.Front(); e != nil && evicted < maxEvictionsPerAdd; e = e.Next() {
		remaining := len(c.conns) - c.closingCount
		if remaining <= softLimit {
			break
		}
		conn := e.Value.(*clientConn)
		idleFor := now.Sub(conn.lastActive)
		if idleFor < minEvictionGrace || idleFor < evictionGrace && remaining < c.maxConns {
			break // the connections further back in the list were active later
		}
		if matches(conn) && c.evict(conn) {
			evicted++
		}
	}
	return evicted
}

// endStalled ends the waits of connections whose incomplete requests have brought no byte for maxStall, those that have waited
// for the longest time first, and maxEvictionsPerAdd at most.
func (c *clientConnections) endStalled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	stalledBefore := time.Now().Add(-maxStall)
	for range maxEvictionsPerAdd {
		var longest *clientConn
		for conn := range c.conns {
			isStalled := !conn.wakeAt.IsZero() && conn.wakeAt != aLongTimeAgo && !conn.waitingSince.After(stalledBefore)
			if isStalled && (longest == nil || conn.waitingSince.Before(longest.waitingSince)) {
				longest = conn
			}
		}
		if longest == nil {
			return
		}
		longest.replaceWakeAt(aLongTimeAgo)
		longest.applyReadDeadline()
	}
}

// evict makes the server close a connection without an open request, to free its slot, and returns true. If the
// connection is already closing, has unread bytes or has been closed by the client, evict does nothing and returns
// false.
func (c *clientConnections) evict(conn *clientConn) bool {
	if conn.closing || !isOpenWithoutInput(conn.Conn) {
		return false
	}
	c.closeWhenIdle(conn)
	c.metrics.add(connectionsEvicted)
	return true
}

// closeWhenIdle makes the server close a connection without an open request. It ends the server's wait for a request,
// or for the rest of a request's header. If the server is not waiting yet, its next wait ends at once.
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

// remove removes a closed connection from the table, after the last read from the connection. It calls markActive to
// remove the connection from the idle list and from closingCount.
func (c *clientConnections) remove(conn *clientConn) {
	c.markActive(conn)
	conn.replaceWakeAt(time.Time{})
	conn.unread.free()
	conn.headMemory.release()
	delete(c.conns, conn)
	select {
	case c.slotFreed <- struct{}{}:
	default: // an element is already in the channel
	}
}
