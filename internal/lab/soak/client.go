package soak

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	lateAnswerLimit = 500 * time.Millisecond // an answer so long after the client's time still counts as one
	timingMargin    = 50 * time.Millisecond  // on sockets, every limit of time is so much longer
	dialTimeout     = time.Second
)

// Request is what a client sends.
type Request struct {
	ID, Class, Method string
	Key               string        // idempotency key; "": none
	BodyBytes         int           // bytes
	Timeout           time.Duration // the client waits so long for the answer
	Pieces            int           // it is written in so many pieces; 0 stands for 1
	PieceGap          time.Duration // between two of them
	DisconnectAfter   time.Duration // the client closes its connection so long after the last byte; 0: it stays
}

// ClientAttempt is what a client saw of one sending of a request.
type ClientAttempt struct {
	ID, Class     string
	Gateway       int           // number
	ProcessNumber int           // of that gateway: how often it had been started when the connection was made
	Resent        bool          // sent again, since the first connection ended with no byte of an answer
	FirstByteAt   time.Duration // the first byte was sent
	SentAt        time.Duration // the last one was; 0: it never was
	Timeout       time.Duration
	EndedAt       time.Duration
	Disconnected  bool  // the client closed the connection
	Unreached     bool  // the connection never reached the gateway
	Status        int   // of the whole answer; 0: there is none
	AnswerStarted bool  // some of an answer came
	Err           error // why there is no whole answer
}

// Deadline is when the client's time is over.
func (s ClientAttempt) Deadline() time.Duration { return s.SentAt + s.Timeout }

// Conn is one connection of a client to a gateway.
type Conn struct {
	net.Conn
	reader        *bufio.Reader
	clock         Clock
	gateway       int
	processNumber int
	proxy         *Proxy // on the way; nil: none
}

// Dial connects a client to an address.
func Dial(clock Clock, address string, gateway, processNumber int) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, reader: bufio.NewReader(conn), clock: clock, gateway: gateway, processNumber: processNumber}, nil
}

// closeProbeTimeout is how long a client looks whether its resting connection has ended.
const closeProbeTimeout = 100 * time.Microsecond

// PeerClosed tells whether the gateway has ended a resting connection, as far as its client can know.
func (c *Conn) PeerClosed() bool {
	c.SetReadDeadline(time.Now().Add(closeProbeTimeout))
	_, err := c.reader.Peek(1)
	return !isTimeout(err)
}

// Do sends a request and waits for its answer, until the latest moment at which one would count. reuse tells whether
// another request may follow on the connection.
func (c *Conn) Do(q Request) (attempt ClientAttempt, reusable bool) {
	attempt = ClientAttempt{ID: q.ID, Class: q.Class, Gateway: c.gateway, ProcessNumber: c.processNumber, FirstByteAt: c.clock.Now(), Timeout: q.Timeout}
	defer func() {
		attempt.EndedAt = c.clock.Now()
		// It leaves in the middle of an answer too, and then whatever it has read can't be made out.
		attempt.Disconnected = attempt.Err != nil && attempt.SentAt > 0 && q.DisconnectAfter > 0 && attempt.EndedAt >= attempt.SentAt+q.DisconnectAfter
		attempt.Unreached = c.proxy != nil && c.proxy.Unreached(c.LocalAddr())
	}()
	timeout := q.Timeout + lateAnswerLimit + timingMargin
	if attempt.Err = c.writeRequest(q); attempt.Err != nil {
		timeout = timingMargin // the gateway may have answered and closed before the request was whole
	} else {
		attempt.SentAt = c.clock.Now()
		if q.DisconnectAfter > 0 {
			timeout = q.DisconnectAfter
		}
	}
	c.SetReadDeadline(time.Now().Add(timeout))
	if _, err := c.reader.Peek(1); err != nil {
		attempt.Err = err
		return attempt, false
	}
	attempt.AnswerStarted = true
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		attempt.Err = err
		return attempt, false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		attempt.Err = err
		return attempt, false
	}
	if resp.StatusCode == http.StatusOK && string(body) != q.ID {
		attempt.Err = fmt.Errorf("answered with %q", body)
		return attempt, false
	}
	attempt.Status = resp.StatusCode
	return attempt, !resp.Close && attempt.Err == nil
}

// writeRequest writes the request, in pieces where it says so.
func (c *Conn) writeRequest(q Request) error {
	text := q.encode()
	pieces := max(q.Pieces, 1)
	c.SetWriteDeadline(time.Now().Add(q.Timeout + lateAnswerLimit + time.Duration(pieces)*q.PieceGap))
	size := int(math.Ceil(float64(len(text)) / float64(pieces)))
	for n := 0; n < len(text); n += size {
		if n > 0 {
			time.Sleep(q.PieceGap)
		}
		if _, err := io.WriteString(c, text[n:min(n+size, len(text))]); err != nil {
			return err
		}
	}
	return nil
}

func (q Request) encode() string {
	head := fmt.Sprintf("%s /%s/do HTTP/1.1\r\nHost: origin.svc\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: %016x\r\n%s: %d\r\n%s: units=1,spread=1,first=0\r\n",
		q.Method, q.Class, idHeader, q.ID, classHeader, q.Class, planHeader, planName, clientHeader, 7,
		timeHeader, q.Timeout.Milliseconds(), termsHeader)
	if q.Key != "" {
		head += keyHeader + ": " + q.Key + "\r\n"
	}
	if q.BodyBytes > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", q.BodyBytes)
	}
	return head + "\r\n" + strings.Repeat("b", q.BodyBytes)
}
