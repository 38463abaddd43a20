package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"amberlb/policy"
)

const (
	maxConnsPerStream       = 4               // connections of a stream at most, stuck ones among them
	counterIdleTimeout      = 5 * time.Second // well below the 10 s after which the counter closes an idle connection
	counterIdlePollInterval = 1 * time.Second // between checks for an idle connection
)

// counterStream writes the calls of one queue, in order, on one connection at a time. A connection that was
// left ends by itself once its calls in flight have ended. The goroutine of runStream owns all fields but
// openConns.
type counterStream struct {
	client    *counterClient
	conn      *counterConn // nil: the next call dials
	lastUsed  time.Time    // when the last call was written
	openConns atomic.Int64 // connections of the stream that have not ended
}

// send writes a call on a connection that may be used for it. A call that is not written is reported here.
func (s *counterStream) send(ctx context.Context, call *counterCall) {
	if call.abandoned.Load() {
		call.report(call, policy.TimedOut, 0) // never written, so never added
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

// retireIdle leaves a connection that has been idle for long, or that leads to an old address.
func (s *counterStream) retireIdle() {
	if s.conn != nil && (time.Since(s.lastUsed) > counterIdleTimeout || s.addressChanged()) {
		s.retire()
	}
}

// addressChanged reports whether the connection leads to an old address of the counter.
func (s *counterStream) addressChanged() bool {
	return s.conn.dialedAddress != *s.client.address.Load()
}

// retire leaves the connection; the next call dials.
func (s *counterStream) retire() {
	s.conn.retire()
	s.conn = nil
}

// close ends the connection in use at once.
func (s *counterStream) close() {
	if s.conn != nil {
		s.conn.Close()
	}
}
