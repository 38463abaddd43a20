package gateway

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// connPhase says whether a client's connection is idle, is receiving a request or has an open request. A
// connection's request is open from the time at which the HTTP server has read the request's header until the request
// has been answered.
type connPhase int32

// The phases of a connection.
const (
	phaseIdle      connPhase = iota // no byte of a request has arrived since the accept or the last answer
	phaseReading                    // bytes of a request have arrived, but the header has not been read to its end
	phaseOpen                       // the header of a request has been read, and the request is unanswered
	connPhaseCount                  // the number of phases
)

// String returns the name of a phase, as used in log lines.
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

// atomicConnPhase is a connPhase for concurrent use. The zero value is phaseIdle.
type atomicConnPhase struct{ value atomic.Int32 }

// load returns the phase.
func (a *atomicConnPhase) load() connPhase { return connPhase(a.value.Load()) }

// store sets the phase.
func (a *atomicConnPhase) store(p connPhase) { a.value.Store(int32(p)) }

// onConnState updates the table when the HTTP server reports a new state of a connection.
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

// markIdle sets a connection's phase to phaseIdle and adds the connection to the end of the idle list.
func (c *clientConnections) markIdle(conn *clientConn) {
	conn.lastActive = time.Now()
	conn.idleElement = c.idle.PushBack(conn)
	conn.phase.store(phaseIdle)
}

// markReading records that a request has begun to arrive on an idle connection, and cancels a close of the connection.
// If the connection has served a request before, the new request gets readTimeout to become complete.
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
		conn.readDeadline = minDeadline // the server's deadline covers only the wait between requests
	}
	conn.applyReadDeadline()
}

// markActive sets a connection's phase to phaseOpen, cancels a close of the connection and removes the connection from
// the idle list.
func (c *clientConnections) markActive(conn *clientConn) {
	conn.phase.store(phaseOpen)
	c.cancelClose(conn)
	if conn.idleElement != nil {
		c.idle.Remove(conn.idleElement)
		conn.idleElement = nil
	}
}

// markAnswered records that a connection's request has been answered. Bytes that arrived behind that request are the
// beginning of the next request. If no such bytes have arrived, a draining table closes the connection.
func (c *clientConnections) markAnswered(conn *clientConn) {
	c.markIdle(conn)
	switch {
	case len(conn.unread.bytes) > 0:
		conn.phase.store(phaseReading)
	case c.draining:
		c.closeWhenIdle(conn)
	}
}
