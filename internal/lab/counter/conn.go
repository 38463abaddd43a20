package counter

import (
	"bufio"
	"bytes"
	"errors"
	"math"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"amberlb/internal/lab/request"
)

const (
	idleTimeout       = 10 * time.Second      // a connection that rests so long is closed
	writeTimeout      = 10 * time.Second      // for a caller that doesn't read its answers
	pollInterval      = 20 * time.Millisecond // between looks at the clock while an answer isn't due, which a fault may change
	maxLineBytes      = 2 << 10               // a line at most
	maxPending        = 4096                  // calls without an answer on a connection; more are read later
	maxAmount         = 1e9
	maxLifetimeMillis = 60_000 // ms
	maxNameBytes      = 64     // bytes
)

// The kinds of answers.
const (
	statusOK = iota
	statusOverloaded
	statusBadRequest
	statusNotFound
)

// response is one that is due on the clock of service; 0: at once.
type response struct {
	status int
	total  float64
	due    time.Duration
}

// conn is a connection. Its reader hands answers to a writer that lives while
// some are pending, so that an idle connection costs one goroutine.
type conn struct {
	net.Conn
	counter *Counter

	mu      sync.Mutex
	pending []response // in order
	writing bool
	muted   bool       // has left a call without an answer; it never answers again
	notFull *sync.Cond // pending has become shorter
}

func (c *Counter) serve(nc net.Conn) {
	defer nc.Close()
	k := &conn{Conn: nc, counter: c}
	k.notFull = sync.NewCond(&k.mu)
	k.readCalls()
	k.mu.Lock()
	for k.writing {
		k.notFull.Wait()
	}
	k.mu.Unlock()
}

// readCalls takes calls until the caller closes, rests too long or writes what can't
// be read.
func (k *conn) readCalls() {
	r := bufio.NewReaderSize(k.Conn, maxLineBytes)
	var q request.Request
	for {
		if r.Buffered() == 0 && !k.awaitCall(r) {
			return
		}
		err := q.Read(r)
		if err != nil && !errors.Is(err, request.ErrMalformed) {
			return
		}
		k.enqueueResponse(err, &q)
		if err != nil || q.Close {
			return
		}
	}
}

// awaitCall waits for the next call and returns false if there is none.
func (k *conn) awaitCall(r *bufio.Reader) bool {
	for {
		k.SetReadDeadline(time.Now().Add(idleTimeout))
		_, err := r.Peek(1)
		if err == nil {
			return true
		}
		k.mu.Lock()
		busy := len(k.pending) > 0 || k.writing || k.muted
		k.mu.Unlock()
		if !errors.Is(err, os.ErrDeadlineExceeded) || !busy {
			return false
		}
	}
}

// enqueueResponse serves a call that was read with err and puts its answer in line.
func (k *conn) enqueueResponse(err error, q *request.Request) {
	c := k.counter
	c.callCount.Add(1)
	fault := c.state.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.muted = k.muted || fault.Blackhole
	for len(k.pending) >= maxPending && !k.muted {
		k.notFull.Wait()
	}
	if k.muted {
		return
	}
	a := response{status: statusBadRequest}
	if err == nil {
		var name []byte
		var amount float64
		var lifetime time.Duration
		if name, amount, lifetime, a.status = parseCall(q); a.status == statusOK {
			a = c.handleCall(fault, name, amount, lifetime)
		}
	}
	k.pending = append(k.pending, a)
	if !k.writing {
		k.writing = true
		c.serving.Go(k.writeResponses)
	}
}

// writeResponses writes answers as they fall due until none is pending.
func (k *conn) writeResponses() {
	var text []byte
	for {
		k.mu.Lock()
		fault := k.counter.state.Load()
		serviceNow := fault.serviceClock(k.counter.now())
		ready := 0
		for ready < len(k.pending) && k.pending[ready].due <= serviceNow {
			ready++
		}
		if ready > 0 && fault.Blackhole || k.counter.closed.Load() {
			k.muted = true
		}
		if k.muted {
			k.pending = nil
		}
		if len(k.pending) == 0 {
			k.writing = false
			k.notFull.Broadcast()
			k.mu.Unlock()
			return
		}
		text = text[:0]
		for _, a := range k.pending[:ready] {
			text = a.appendHTTP(text)
		}
		k.pending = k.pending[ready:]
		var wait time.Duration
		if ready == 0 {
			wait = min(time.Duration(float64(k.pending[0].due-serviceNow)*fault.SlowFactor), pollInterval)
		}
		k.notFull.Broadcast()
		k.mu.Unlock()
		if ready == 0 {
			time.Sleep(wait)
			continue
		}
		k.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := k.Write(text); err != nil {
			k.mu.Lock()
			k.muted = true
			k.mu.Unlock()
			k.Close() // ends the reader
		}
	}
}

// appendHTTP writes the answer as HTTP.
func (a response) appendHTTP(b []byte) []byte {
	switch a.status {
	case statusOK:
		var digits [32]byte
		total := strconv.AppendFloat(digits[:0], a.total, 'f', -1, 64)
		b = append(b, "HTTP/1.1 200 OK\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(total)), 10)
		b = append(b, "\r\n\r\n"...)
		return append(b, total...)
	case statusOverloaded:
		return append(b, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"...)
	case statusBadRequest:
		return append(b, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"...)
	}
	return append(b, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"...)
}

// parseCall reads a call. The name is taken as it stands in the path.
func parseCall(q *request.Request) (name []byte, amount float64, lifetime time.Duration, status int) {
	path, query, _ := bytes.Cut(q.Target, []byte("?"))
	name, found := bytes.CutPrefix(path, []byte("/v1/count/"))
	if !found || len(name) == 0 || len(name) > maxNameBytes || string(q.Method) != "POST" {
		return nil, 0, 0, statusNotFound
	}
	var add, ttl []byte
	for len(query) > 0 {
		var pair []byte
		pair, query, _ = bytes.Cut(query, []byte("&"))
		switch key, value, _ := bytes.Cut(pair, []byte("=")); string(key) {
		case "add":
			add = value
		case "ttl_ms":
			ttl = value
		}
	}
	amount, err := strconv.ParseFloat(string(add), 64)
	if err != nil || !(math.Abs(amount) <= maxAmount) {
		return nil, 0, 0, statusBadRequest
	}
	ms, err := strconv.ParseUint(string(ttl), 10, 63)
	if err != nil || ms < 1 {
		return nil, 0, 0, statusBadRequest
	}
	return name, amount, time.Duration(min(ms, maxLifetimeMillis)) * time.Millisecond, statusOK
}
