package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"amberlb/policy"
)

const (
	maxConnsPerStream       = 4               // with this many open connections, a stream does not replace a blocked one
	counterIdleTimeout      = 5 * time.Second // maximum idle time of a connection; well below the counter's limit of 10 s
	counterIdlePollInterval = 1 * time.Second // time between two calls of retireIdle
)

// counterStream writes the calls of one queue, in order, to one connection at a time. A retired connection is closed
// when its calls in flight have ended. The goroutine of runStream owns all fields except openConns.
type counterStream struct {
	client    *counterClient
	conn      *counterConn   // connection in use; if nil, the next call dials a new connection
	retired   []*counterConn // retired connections, oldest first; some may have ended by now (see forgetEnded)
	lastUsed  time.Time      // time at which the last call was written
	openConns atomic.Int64   // number of the stream's connections, including retired connections that are not closed yet
}

// send writes a call, on a new connection if the current connection can't be used. If the call is abandoned or can't be
// written, send reports the call's outcome.
func (s *counterStream) send(ctx context.Context, call *counterCall) {
	if call.abandoned.Load() {
		call.report(call, policy.TimedOut, 0) // the call was not written, so the amount was not added
		return
	}
	idleFor := time.Since(s.lastUsed)
	if s.conn != nil && (s.addressChanged() || !s.conn.reusable(idleFor) || s.conn.headOfLineBlocked()) {
		s.retire()
	}
	if s.conn != nil && s.conn.isSilent() {
		s.closeSecondOldest()
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

// retireIdle retires the connection if no call was written for counterIdleTimeout, or if the counter's address has
// changed.
func (s *counterStream) retireIdle() {
	if s.conn != nil && (time.Since(s.lastUsed) > counterIdleTimeout || s.addressChanged()) {
		s.retire()
	}
}

// addressChanged reports whether the counter's address has changed since the connection was dialed.
func (s *counterStream) addressChanged() bool {
	return s.conn.dialedAddress != *s.client.address.Load()
}

// retire retires the connection in use. The next call dials a new connection.
func (s *counterStream) retire() {
	s.conn.retire()
	s.forgetEnded()
	s.retired = append(s.retired, s.conn)
	s.conn = nil
}

// forgetEnded removes the retired connections that have ended.
func (s *counterStream) forgetEnded() {
	s.retired = slices.DeleteFunc(s.retired, func(c *counterConn) bool { return c.ended.Load() })
}

// closeSecondOldest closes the second oldest connection if the stream has maxConnsPerStream open connections. The next
// call can then open a new one, which works again after an outage. The oldest connection stays open for
// counterResponseTimeout: if the counter is not silent but slow, that connection is the first to bring its response.
func (s *counterStream) closeSecondOldest() {
	s.forgetEnded()
	if len(s.retired) >= maxConnsPerStream-1 {
		s.retired[1].Close()
	}
}

// close closes the connection in use at once. It does nothing if there is no connection in use.
func (s *counterStream) close() {
	if s.conn != nil {
		s.conn.Close()
	}
}
