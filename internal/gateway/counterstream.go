package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"amberlb/policy"
)

const (
	maxConnsPerStream       = 4               // limit for replacing a blocked connection; retired ones count until closed
	counterIdleTimeout      = 5 * time.Second // well below the 10 s after which the counter closes an idle connection
	counterIdlePollInterval = 1 * time.Second // how often a stream checks whether its connection has been idle too long
)

// counterStream writes the calls of one queue, in order, to one connection at a time. A connection that the stream has
// retired closes when its calls in flight have ended. The goroutine of runStream owns all fields but openConns.
type counterStream struct {
	client    *counterClient
	conn      *counterConn // the connection in use; if nil, the next call dials
	lastUsed  time.Time    // when the last call was written
	openConns atomic.Int64 // number of the stream's connections, including retired ones that are not closed yet
}

// send writes a call, on a new connection if the current one can't be used. If the call can't be written, send reports
// its outcome.
func (s *counterStream) send(ctx context.Context, call *counterCall) {
	if call.abandoned.Load() {
		call.report(call, policy.TimedOut, 0) // not written, so nothing was added
		return
	}
	idleFor := time.Since(s.lastUsed)
	if s.conn != nil && (s.addressChanged() || !s.conn.reusable(idleFor) || s.conn.headOfLineBlocked()) {
		s.retire()
	}
	if s.conn != nil && s.conn.inFlight.Load() == 0 {
		call.idleFor = idleFor
	}
	if s.conn == nil {
		conn, err := s.client.dial(ctx, &s.openConns)
		if err != nil {
			call.report(call, policy.ConnectFailed, 0)
			return
		}
		s.conn = conn
	}
	s.lastUsed = time.Now()
	s.conn.writeCall(call)
}

// retireIdle retires the connection if it has been idle for too long or goes to an old address of the counter.
func (s *counterStream) retireIdle() {
	if s.conn != nil && (time.Since(s.lastUsed) > counterIdleTimeout || s.addressChanged()) {
		s.retire()
	}
}

// addressChanged reports whether the connection goes to an old address of the counter.
func (s *counterStream) addressChanged() bool {
	return s.conn.dialedAddress != *s.client.address.Load()
}

// retire stops using the connection. The next call dials a new one.
func (s *counterStream) retire() {
	s.conn.retire()
	s.conn = nil
}

// close closes the connection in use, if there is one, at once.
func (s *counterStream) close() {
	if s.conn != nil {
		s.conn.Close()
	}
}
