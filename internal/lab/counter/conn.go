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
	idle        = 10 * time.Second      // a connection that rests so long is closed
	writeWait   = 10 * time.Second      // for a caller that doesn't read its answers
	look        = 20 * time.Millisecond // between looks at the clock while an answer isn't due, which a fault may change
	readBytes   = 2 << 10               // a line at most
	mostPending = 4096                  // calls without an answer on a connection; more are read later
	mostAmount  = 1e9
	mostLife    = 60_000 // ms
	mostName    = 64     // bytes
)

// The kinds of answers.
const (
	served = iota
	turnedAway
	badCall
	noSuchCall
)

// answer is one that is due on the clock of service; 0: at once.
type answer struct {
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
	pending []answer // in order
	writing bool
	mute    bool       // has left a call without an answer; it never answers again
	room    *sync.Cond // pending has become shorter
}

func (c *Counter) serve(nc net.Conn) {
	defer nc.Close()
	k := &conn{Conn: nc, counter: c}
	k.room = sync.NewCond(&k.mu)
	k.read()
	k.mu.Lock()
	for k.writing {
		k.room.Wait()
	}
	k.mu.Unlock()
}

// read takes calls until the caller closes, rests too long or writes what can't
// be read.
func (k *conn) read() {
	r := bufio.NewReaderSize(k.Conn, readBytes)
	var q request.Request
	for {
		if r.Buffered() == 0 && !k.rest(r) {
			return
		}
		err := q.Read(r)
		if err != nil && !errors.Is(err, request.ErrMalformed) {
			return
		}
		k.answer(err, &q)
		if err != nil || q.Close {
			return
		}
	}
}

// rest waits for the next call and returns false if there is none.
func (k *conn) rest(r *bufio.Reader) bool {
	for {
		k.SetReadDeadline(time.Now().Add(idle))
		_, err := r.Peek(1)
		if err == nil {
			return true
		}
		k.mu.Lock()
		waits := len(k.pending) > 0 || k.writing || k.mute
		k.mu.Unlock()
		if !errors.Is(err, os.ErrDeadlineExceeded) || !waits {
			return false
		}
	}
}

// answer serves a call that was read with err and puts its answer in line.
func (k *conn) answer(err error, q *request.Request) {
	c := k.counter
	c.calls.Add(1)
	s := c.state.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mute = k.mute || s.Silent
	for len(k.pending) >= mostPending && !k.mute {
		k.room.Wait()
	}
	if k.mute {
		return
	}
	a := answer{status: badCall}
	if err == nil {
		var name []byte
		var amount float64
		var life time.Duration
		if name, amount, life, a.status = parse(q); a.status == served {
			a = c.call(s, name, amount, life)
		}
	}
	k.pending = append(k.pending, a)
	if !k.writing {
		k.writing = true
		c.serving.Go(k.write)
	}
}

// write writes answers as they fall due until none is pending.
func (k *conn) write() {
	var text []byte
	for {
		k.mu.Lock()
		s := k.counter.state.Load()
		clock := s.at(k.counter.now())
		n := 0
		for n < len(k.pending) && k.pending[n].due <= clock {
			n++
		}
		if n > 0 && s.Silent || k.counter.closed.Load() {
			k.mute = true
		}
		if k.mute {
			k.pending = nil
		}
		if len(k.pending) == 0 {
			k.writing = false
			k.room.Broadcast()
			k.mu.Unlock()
			return
		}
		text = text[:0]
		for _, a := range k.pending[:n] {
			text = a.append(text)
		}
		k.pending = k.pending[n:]
		var wait time.Duration
		if n == 0 {
			wait = min(time.Duration(float64(k.pending[0].due-clock)*s.Slow), look)
		}
		k.room.Broadcast()
		k.mu.Unlock()
		if n == 0 {
			time.Sleep(wait)
			continue
		}
		k.SetWriteDeadline(time.Now().Add(writeWait))
		if _, err := k.Write(text); err != nil {
			k.mu.Lock()
			k.mute = true
			k.mu.Unlock()
			k.Close() // ends the reader
		}
	}
}

// append writes the answer as HTTP.
func (a answer) append(b []byte) []byte {
	switch a.status {
	case served:
		var digits [32]byte
		total := strconv.AppendFloat(digits[:0], a.total, 'f', -1, 64)
		b = append(b, "HTTP/1.1 200 OK\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(total)), 10)
		b = append(b, "\r\n\r\n"...)
		return append(b, total...)
	case turnedAway:
		return append(b, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"...)
	case badCall:
		return append(b, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"...)
	}
	return append(b, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"...)
}

// parse reads a call. The name is taken as it stands in the path.
func parse(q *request.Request) (name []byte, amount float64, life time.Duration, status int) {
	path, query, _ := bytes.Cut(q.Target, []byte("?"))
	name, found := bytes.CutPrefix(path, []byte("/v1/count/"))
	if !found || len(name) == 0 || len(name) > mostName || string(q.Method) != "POST" {
		return nil, 0, 0, noSuchCall
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
	if err != nil || !(math.Abs(amount) <= mostAmount) {
		return nil, 0, 0, badCall
	}
	ms, err := strconv.ParseUint(string(ttl), 10, 63)
	if err != nil || ms < 1 {
		return nil, 0, 0, badCall
	}
	return name, amount, time.Duration(min(ms, mostLife)) * time.Millisecond, served
}
