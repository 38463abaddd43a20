package gateway

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// connPhase is what a client's connection is doing.
type connPhase int32

// The phases of a connection.
const (
	phaseIdle      connPhase = iota // nothing has come since it was accepted or last answered
	phaseReading                    // a part of a request has come
	phaseOpen                       // a request is open
	connPhaseCount                  // the number of phases
)

// String returns the name of a phase, as in log lines.
func (p connPhase) String() string {
	switch p {
	case phaseIdle:
		return "idle"
	case phaseReading:
		return "reading"
	case phaseOpen:
		return "open"
	}
	return "connPhase(" + strconv.Itoa(int(p)) + ")"
}

// atomicConnPhase is a connPhase that many goroutines may use. The zero value is phaseIdle.
type atomicConnPhase struct{ value atomic.Int32 }

// load returns the phase.
func (a *atomicConnPhase) load() connPhase { return connPhase(a.value.Load()) }

// store sets the phase.
func (a *atomicConnPhase) store(p connPhase) { a.value.Store(int32(p)) }

// onConnState follows what the HTTP server does with a connection.
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
		c.markAnswered(conn)
	case http.StateClosed, http.StateHijacked:
		c.remove(conn)
	}
}

// markIdle puts a connection behind all others that are idle.
func (c *clientConnections) markIdle(conn *clientConn) {
	conn.lastActive = time.Now()
	conn.idleElement = c.idle.PushBack(conn)
	conn.phase.store(phaseIdle)
}

// markReading notes that a request has begun to come. It gets the time of a new connection to become complete, whatever
// was to end the wait for it.
func (c *clientConnections) markReading(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.idleElement == nil {
		return
	}
	conn.phase.store(phaseReading)
	conn.lastActive = time.Now()
	c.idle.MoveToBack(conn.idleElement)
	c.cancelClose(conn)
	minDeadline := conn.lastActive.Add(readTimeout)
	if !conn.isNew && conn.readDeadline.Before(minDeadline) {
		conn.readDeadline = minDeadline // the server's was for the wait alone
	}
	conn.applyReadDeadline()
}

// markActive takes a connection out of those that are idle.
func (c *clientConnections) markActive(conn *clientConn) {
	conn.phase.store(phaseOpen)
	c.cancelClose(conn)
	if conn.idleElement != nil {
		c.idle.Remove(conn.idleElement)
		conn.idleElement = nil
	}
}

// markAnswered notes that a connection's request has been answered. Bytes that came behind it are the beginning of the
// next one.
func (c *clientConnections) markAnswered(conn *clientConn) {
	c.markIdle(conn)
	switch {
	case len(conn.pipelined) > 0:
		conn.phase.store(phaseReading)
	case c.draining:
		c.closeWhenIdle(conn)
	}
}
