package gateway

import (
	"container/list"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	softShare  = 0.8                    // of the connections; above it newcomers replace those that stand idle
	idleGrace  = 2 * time.Second        // a connection is left alone so long after its last sign of life
	leastGrace = 100 * time.Millisecond // and so long where there is no room at all
	roomLook   = 10 * time.Millisecond  // between looks for room
	endingLook = 100 * time.Millisecond // and for idle ones at the end
)

// clients keeps the connections of clients within a bound. A listener that only stopped accepting at its bound would
// hand the gateway over to whoever connects and says nothing; usual clients would wait in the backlog behind them. Here
// a newcomer takes the place of the connection that has been without an open request for the longest.
type clients struct {
	net.Listener
	most    int
	metrics *metrics
	log     *slog.Logger
	freed   chan struct{} // a connection has ended

	// Accept's own:
	lastFrom time.Time // since when it empties the queue before a stop closes it; zero: it doesn't
	queue    queueWait

	mu      sync.Mutex
	conns   map[*clientConn]struct{}
	idle    list.List // of *clientConn without an open request, the longest idle first
	ending  int       // idle ones whose end is on its way
	leaving bool      // connections end once they are idle
	cutoff  time.Time // of a stop: a request that isn't whole by then is refused; zero: none
}

func newClients(l net.Listener, most int) *clients {
	return &clients{Listener: l, most: most, metrics: &metrics{}, log: slog.Default(), freed: make(chan struct{}, 1), conns: map[*clientConn]struct{}{}}
}

// Accept returns the next connection that there is room for. One for which none
// could be made soon is closed. Its only error is net.ErrClosed.
func (c *clients) Accept() (net.Conn, error) {
	for {
		conn, err := c.acceptNext()
		if err != nil {
			return nil, err
		}
		arrived := c.queue.accepted(time.Now())
		for left := leastGrace; ; left -= roomLook {
			if taken := c.take(conn); taken != nil {
				c.metrics.add(connectionsAccepted)
				taken.waited = waitedUnread(conn, arrived)
				return taken, nil
			}
			if left <= 0 {
				break
			}
			select {
			case <-c.freed:
			case <-time.After(roomLook):
			}
		}
		c.metrics.add(connectionsWithoutRoom)
		conn.Close()
	}
}

// The pauses between accepts that fail.
const (
	firstPause = time.Millisecond
	mostPause  = 50 * time.Millisecond
)

// acceptNext returns the next connection of the kernel's queue. An accept fails for a while where the machine or the
// process lacks something, and for one connection where that has ended in the queue; neither is an end of the
// listener, and a gateway that took it for one would end under its open requests. So it goes on until the listener
// is closed, with short pauses.
func (c *clients) acceptNext() (net.Conn, error) {
	for pause := firstPause; ; pause = min(2*pause, mostPause) {
		c.queue.asked(time.Now())
		conn, err := c.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			conn, err = c.acceptLast()
		}
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		c.queue.failed(time.Now())
		if c.metrics.add(acceptsFailed); pause == firstPause {
			c.log.Warn("a connection can't be accepted", "error", err)
		}
		time.Sleep(pause)
	}
}

// stopAccepting ends Accept, once the connections that wait in the kernel's queue have been accepted, and closes the
// listener. To close it at once would reset them.
func (c *clients) stopAccepting() {
	if l, ok := c.Listener.(deadlineListener); ok {
		l.SetDeadline(longAgo) // wakes Accept
		return
	}
	c.Close()
}

// deadlineListener is a listener whose wait can be bounded, such as TCP's.
type deadlineListener interface{ SetDeadline(time.Time) error }

const (
	lastAccepts   = 3                      // looks for connections in the queue, in a row, that find none
	lastAccept    = 5 * time.Millisecond   // each
	mostAccepting = 100 * time.Millisecond // for the queue, where new ones keep coming
)

// acceptLast returns a connection that waits in the queue, or closes the listener if there is none. Accept alone calls it.
func (c *clients) acceptLast() (net.Conn, error) {
	if c.lastFrom.IsZero() {
		c.lastFrom = time.Now()
	}
	for n := 0; n < lastAccepts && time.Since(c.lastFrom) < mostAccepting; n++ {
		c.Listener.(deadlineListener).SetDeadline(time.Now().Add(lastAccept))
		conn, err := c.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
	c.Close()
	return nil, net.ErrClosed
}

// take enters a new connection, if there is room for it. Once the soft bound is passed, it ends those that have been
// idle for long enough, two for each newcomer; their room is there when their servers have closed them.
func (c *clients) take(conn net.Conn) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	soft := int(softShare * float64(c.most))
	now, evicted := time.Now(), 0
	for e := c.idle.Front(); e != nil && evicted < 2 && len(c.conns)-c.ending > soft; e = e.Next() {
		q := e.Value.(*clientConn)
		age := now.Sub(q.since)
		if age < leastGrace || age < idleGrace && len(c.conns)-c.ending < c.most {
			break // all others have been idle for less
		}
		if c.evict(q) {
			evicted++
		}
	}
	if len(c.conns) >= c.most {
		return nil
	}
	q := &clientConn{Conn: conn, table: c, fresh: true}
	c.conns[q] = struct{}{}
	c.rest(q)
	return q
}

// evict ends a connection without an open request to make room, unless it is ending already or something has come on it
// that the server has not read.
func (c *clients) evict(q *clientConn) bool {
	if q.ending || !alive(q.Conn) {
		return false
	}
	c.end(q)
	c.metrics.add(connectionsEvicted)
	return true
}

// end ends a connection's wait for a request, or for the rest of one, now or as soon as it is idle.
func (c *clients) end(q *clientConn) {
	if !q.ending {
		q.ending = true
		c.ending++
	}
	q.applyDeadline()
}

// rest puts a connection behind all others that are idle.
func (c *clients) rest(q *clientConn) {
	q.since, q.place = time.Now(), c.idle.PushBack(q)
	q.phase.Store(idle)
}

// begin notes that a request has begun to come. It gets the time of a new connection to be whole, whatever was to end
// the wait for it.
func (c *clients) begin(q *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.place == nil {
		return
	}
	q.phase.Store(reading)
	q.since = time.Now()
	c.idle.MoveToBack(q.place)
	c.spare(q)
	if least := q.since.Add(readTimeout); !q.fresh && q.deadline.Before(least) {
		q.deadline = least // the server's was for the wait alone
	}
	q.applyDeadline()
}

// spare takes back that a connection is to end.
func (c *clients) spare(q *clientConn) {
	if q.ending {
		q.ending = false
		c.ending--
		q.applyDeadline()
	}
}

// state follows what the server does with a connection.
func (c *clients) state(conn net.Conn, s http.ConnState) {
	q := conn.(*clientConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, here := c.conns[q]; !here {
		return
	}
	switch s {
	case http.StateActive:
		c.busy(q)
		q.fresh = false
	case http.StateIdle:
		c.rest(q)
		switch {
		case len(q.ahead) > 0:
			q.phase.Store(reading)
		case c.leaving:
			c.end(q)
		}
	case http.StateClosed, http.StateHijacked:
		c.forget(q)
	}
}

// busy takes a connection out of those that are idle.
func (c *clients) busy(q *clientConn) {
	q.phase.Store(open)
	c.spare(q)
	if q.place != nil {
		c.idle.Remove(q.place)
		q.place = nil
	}
}

// forget takes a closed connection out of the table.
func (c *clients) forget(q *clientConn) {
	c.busy(q)
	delete(c.conns, q)
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

// leave ends the connections that are idle, now and as they become so. New ones
// are left, since a request is about to come on them. Requests that are not whole
// by cutoff are refused.
func (c *clients) leave(cutoff time.Time) {
	c.mu.Lock()
	c.cutoff = cutoff
	for q := range c.conns {
		q.applyDeadline()
	}
	c.mu.Unlock()
	c.endIdle(func(q *clientConn) bool { return !q.fresh })
}

// refusal is the status for a request of which the rest is not waited for.
func (c *clients) refusal(q *clientConn) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.ending || !c.cutoff.IsZero() && !time.Now().Before(c.cutoff) {
		return http.StatusServiceUnavailable // the gateway has no place or no time for it: trying again is harmless
	}
	return http.StatusRequestTimeout
}

// endNew ends the connections on which no request has begun.
func (c *clients) endNew() { c.endIdle(func(*clientConn) bool { return true }) }

func (c *clients) endIdle(which func(*clientConn) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	for e := c.idle.Front(); e != nil; e = e.Next() {
		if q := e.Value.(*clientConn); q.phase.Load() == idle && which(q) {
			c.end(q)
		}
	}
}

// LogValue tells how many connections there are, by phase.
func (c *clients) LogValue() slog.Value {
	var phases [open + 1]int
	c.mu.Lock()
	for q := range c.conns {
		phases[q.phase.Load()]++
	}
	c.mu.Unlock()
	return slog.GroupValue(slog.Int("idle", phases[idle]), slog.Int("reading", phases[reading]), slog.Int("open", phases[open]))
}

// unanswered lists requests that have been taken and not answered, so many at most.
func (c *clients) unanswered(most int) []openRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []openRequest
	for q := range c.conns {
		if x := q.request.Load(); x != nil && len(list) < most {
			list = append(list, openRequest{exchange: x, client: q.RemoteAddr().String()})
		}
	}
	return list
}

// ended waits until no connection is left, for so long at most, and ends those
// that are still new.
func (c *clients) ended(most time.Duration) bool {
	for late := time.After(most); ; {
		c.endNew()
		c.mu.Lock()
		left := len(c.conns)
		c.mu.Unlock()
		if left == 0 {
			return true
		}
		select {
		case <-c.freed:
		case <-time.After(endingLook):
		case <-late:
			return false
		}
	}
}
