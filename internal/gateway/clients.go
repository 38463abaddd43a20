package gateway

import (
	"container/list"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	softShare  = 0.8                    // of the connections; above it newcomers replace those that stand idle
	quietGrace = 2 * time.Second        // a connection is left alone so long after its last sign of life
	leastGrace = 100 * time.Millisecond // and so long where there is no room at all
	roomLook   = 10 * time.Millisecond  // between looks for room
	quietLook  = 100 * time.Millisecond // and for quiet ones at the end
	mostAhead  = 16 << 10               // bytes that a client may send behind a request that is open
)

// clients keeps the connections of clients within a bound. Danger: a listener
// that only stops accepting at its bound hands the gateway over to whoever
// connects and says nothing; usual clients then wait in the backlog behind
// them. Here a newcomer takes the place of the connection that has been without an
// open request for the longest.
type clients struct {
	net.Listener
	most    int
	metrics *metrics
	freed   chan struct{} // a connection has ended

	mu      sync.Mutex
	conns   map[*clientConn]struct{}
	quiet   list.List // of *clientConn without an open request, the longest quiet first
	leaving bool      // connections are closed once they are idle
}

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	books *clients

	evicted atomic.Bool  // closed by the books; what was read from it is not to be taken
	phase   atomic.Int32 // changed under books.mu
	ahead   []byte       // what came behind a request that is open; its one reader's own

	// request is the one that is open, for the log; nil: none.
	request atomic.Pointer[exchange]

	// Guarded by books.mu:
	place *list.Element // in quiet; nil while a request is open
	since time.Time     // of the last sign of life
	fresh bool          // no request has come on it yet
}

// The phases of a connection.
const (
	quiet int32 = iota // nothing has come since it was accepted or last answered
	begun              // a part of a request has
	open               // a request is open
)

var errFlood = errors.New("too much behind an open request")

// Read takes note of a request that begins, and keeps what comes behind one that
// is open. Danger: the server watches for a client that leaves by reading one
// byte, and bytes behind the request end that watch; its request would then be
// sent on for nobody. So they are put aside here and the watch goes on, up to a
// bound, beyond which the connection counts as ended.
func (c *clientConn) Read(p []byte) (int, error) {
	watch := len(p) == 1 && c.phase.Load() == open
	if len(c.ahead) > 0 && !watch {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if !watch {
		if n > 0 && c.phase.Load() == quiet {
			c.books.begin(c)
		}
		return n, err
	}
	for c.ahead = append(c.ahead, p[:n]...); err == nil; {
		if len(c.ahead) >= mostAhead {
			c.books.metrics.add(connectionsFlooded)
			return 0, errFlood
		}
		c.ahead = slices.Grow(c.ahead, mostAhead/4)
		n, err = c.Conn.Read(c.ahead[len(c.ahead):min(cap(c.ahead), mostAhead)])
		c.ahead = c.ahead[:len(c.ahead)+n]
	}
	return 0, err
}

// CloseWrite lets the server end an answer in good order before it closes.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func newClients(l net.Listener, most int) *clients {
	return &clients{Listener: l, most: most, metrics: &metrics{}, freed: make(chan struct{}, 1), conns: map[*clientConn]struct{}{}}
}

// Accept returns the next connection that there is room for. One for which none
// could be made soon is closed.
func (c *clients) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		for left := leastGrace; ; left -= roomLook {
			if taken := c.take(conn); taken != nil {
				c.metrics.add(connectionsAccepted)
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

// take puts a new connection on the books, if there is room for it or some can be
// made: once the soft bound is passed, those that have been quiet for long enough
// are closed.
func (c *clients) take(conn net.Conn) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, gone := time.Now(), 0
	for e := c.quiet.Front(); e != nil && gone < 2 && len(c.conns) > int(softShare*float64(c.most)); {
		q, next := e.Value.(*clientConn), e.Next()
		age := now.Sub(q.since)
		if age < leastGrace || age < quietGrace && len(c.conns) < c.most {
			break // all others have been quiet for less
		}
		if c.evict(q) {
			c.metrics.add(connectionsEvicted)
			gone++
		}
		e = next
	}
	if len(c.conns) >= c.most {
		return nil
	}
	q := &clientConn{Conn: conn, books: c, fresh: true}
	c.conns[q] = struct{}{}
	c.rest(q)
	return q
}

// evict closes a quiet connection, unless something has come on it that the
// server has not read. Danger: what the server has read of a request is not seen
// here; so the connection is marked, and the request not taken.
func (c *clients) evict(q *clientConn) bool {
	if !alive(q.Conn) {
		return false
	}
	q.evicted.Store(true)
	q.Close()
	c.forget(q)
	return true
}

// rest puts a connection behind all others that are quiet.
func (c *clients) rest(q *clientConn) {
	q.since, q.place = time.Now(), c.quiet.PushBack(q)
	q.phase.Store(quiet)
}

// begin notes that a request has begun to come. It gets the grace of a new
// connection to be whole, and no stop closes it meanwhile.
func (c *clients) begin(q *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.place != nil {
		q.phase.Store(begun)
		q.since = time.Now()
		c.quiet.MoveToBack(q.place)
		if c.leaving {
			q.SetReadDeadline(time.Now().Add(readTimeout)) // closeQuiet came too late for this one
		}
	}
}

// state follows what the server does with a connection.
func (c *clients) state(conn net.Conn, s http.ConnState) {
	q := conn.(*clientConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, here := c.conns[q]; !here {
		return // it was closed to make room
	}
	switch s {
	case http.StateActive:
		c.busy(q)
		q.fresh = false
	case http.StateIdle:
		c.rest(q)
		switch {
		case len(q.ahead) > 0:
			q.phase.Store(begun)
		case c.leaving:
			c.evict(q) // the server reads nothing meanwhile: it waits for this
		}
	case http.StateClosed, http.StateHijacked:
		c.forget(q)
	}
}

// busy takes a connection out of those that are quiet.
func (c *clients) busy(q *clientConn) {
	if q.phase.Store(open); q.place != nil {
		c.quiet.Remove(q.place)
		q.place = nil
	}
}

// forget takes a connection off the books.
func (c *clients) forget(q *clientConn) {
	c.busy(q)
	delete(c.conns, q)
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

// leave closes the connections that are idle, now and as they become so. New ones
// are left, since a request is about to come on them.
func (c *clients) leave() { c.closeQuiet(func(q *clientConn) bool { return !q.fresh }) }

// closeNew closes the connections on which no request has begun.
func (c *clients) closeNew() { c.closeQuiet(func(*clientConn) bool { return true }) }

// closeQuiet ends the server's wait for a request, and the server then closes the
// connection. Danger: closed from here, one on which a request has just been read
// would lose it; a wait that has ended with a request goes on.
func (c *clients) closeQuiet(which func(*clientConn) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	for e := c.quiet.Front(); e != nil; e = e.Next() {
		q := e.Value.(*clientConn)
		if q.phase.Load() == quiet && which(q) && alive(q.Conn) {
			q.SetReadDeadline(time.Unix(1, 0))
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
	return slog.GroupValue(slog.Int("idle", phases[quiet]), slog.Int("reading", phases[begun]), slog.Int("open", phases[open]))
}

// unanswered lists requests that have been taken and not answered, so many at most.
func (c *clients) unanswered(most int) []openRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []openRequest
	for q := range c.conns {
		if x := q.request.Load(); x != nil && len(list) < most {
			list = append(list, openRequest{id: x.id, class: x.class, client: q.RemoteAddr().String(), open: time.Since(x.readAt)})
		}
	}
	return list
}

// ended waits until no connection is left, for so long at most, and closes those
// that are still quiet: the server may just have been about to wait.
func (c *clients) ended(most time.Duration) bool {
	for late := time.After(most); ; {
		c.closeNew()
		c.mu.Lock()
		left := len(c.conns)
		c.mu.Unlock()
		if left == 0 {
			return true
		}
		select {
		case <-c.freed:
		case <-time.After(quietLook):
		case <-late:
			return false
		}
	}
}
