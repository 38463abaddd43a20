package soak

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"time"
)

// ClientAttempt is what a client saw of sending a request once. Times are of the run's clock.
type ClientAttempt struct {
	ID               string // of the request
	Class            string
	Gateway          int           // number
	ProcessNumber    int           // number of the gateway's process when the connection was made, from 1
	Resent           bool          // sent again, since the first connection ended with no byte of an answer
	FirstByteAt      time.Duration // when the first byte was sent
	SentAt           time.Duration // when the last byte was sent; 0: it never was
	Timeout          time.Duration // how long the client waits, from SentAt
	EndedAt          time.Duration // when the answer was complete or the client stopped waiting
	Disconnected     bool          // the client closed the connection
	TargetDialFailed bool          // the connection never reached the gateway
	Status           int           // of the complete answer; 0: there is none
	ResponseStarted  bool          // some bytes of an answer came
	Err              error         // why there is no complete answer
}

// Deadline is when the client's timeout is over.
func (a ClientAttempt) Deadline() time.Duration { return a.SentAt + a.Timeout }

// Conn is one connection of a client to a gateway.
type Conn struct {
	net.Conn
	reader        *bufio.Reader
	clock         Clock
	gateway       int    // number
	processNumber int    // number of the gateway's process when the connection was made
	proxy         *Proxy // between client and gateway; nil: none
}

// Dial connects a client to an address.
func Dial(clock Clock, address string, gateway, processNumber int) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &Conn{
		Conn:          conn,
		reader:        bufio.NewReader(conn),
		clock:         clock,
		gateway:       gateway,
		processNumber: processNumber,
	}, nil
}

// closeProbeTimeout is how long PeerClosed waits for the end of an idle connection.
const closeProbeTimeout = 100 * time.Microsecond

// PeerClosed tells whether the gateway has closed an idle connection, as far as its client can know.
func (c *Conn) PeerClosed() bool {
	c.SetReadDeadline(time.Now().Add(closeProbeTimeout))
	_, err := c.reader.Peek(1)
	return !isTimeout(err)
}

// Do sends a request and waits for its answer, until the latest moment at which one would count. reusable tells whether
// another request may follow on the connection.
func (c *Conn) Do(request Request) (attempt ClientAttempt, reusable bool) {
	attempt = ClientAttempt{
		ID:            request.ID,
		Class:         request.Class,
		Gateway:       c.gateway,
		ProcessNumber: c.processNumber,
		FirstByteAt:   c.clock.Now(),
		Timeout:       request.Timeout,
	}
	timeout := c.send(request, &attempt)
	c.SetReadDeadline(time.Now().Add(timeout))
	reusable = c.receive(request, &attempt)
	attempt.EndedAt = c.clock.Now()
	// A client may disconnect in the middle of an answer too, and then what it has read of it can't be parsed.
	attempt.Disconnected = attempt.Err != nil && attempt.SentAt > 0 && request.DisconnectAfter > 0 &&
		attempt.EndedAt >= attempt.SentAt+request.DisconnectAfter
	attempt.TargetDialFailed = c.proxy != nil && c.proxy.TargetDialFailed(c.LocalAddr())
	return attempt, reusable
}

// send writes a request and returns how long the client waits for an answer from now on.
func (c *Conn) send(request Request, attempt *ClientAttempt) time.Duration {
	attempt.Err = c.writeRequest(request)
	if attempt.Err != nil {
		return timingMargin // the gateway may have answered and closed before the request was complete
	}
	attempt.SentAt = c.clock.Now()
	if request.DisconnectAfter > 0 {
		return request.DisconnectAfter
	}
	return request.Timeout + lateResponseLimit + timingMargin
}

// writeRequest writes a request, in as many pieces as it says.
func (c *Conn) writeRequest(request Request) error {
	text := request.encode()
	pieces := max(request.Pieces, 1)
	c.SetWriteDeadline(time.Now().Add(request.Timeout + lateResponseLimit + time.Duration(pieces)*request.PieceGap))
	size := int(math.Ceil(float64(len(text)) / float64(pieces)))
	for start := 0; start < len(text); start += size {
		if start > 0 {
			time.Sleep(request.PieceGap)
		}
		if _, err := io.WriteString(c, text[start:min(start+size, len(text))]); err != nil {
			return err
		}
	}
	return nil
}

// receive reads the answer, and tells whether the connection may be used again.
func (c *Conn) receive(request Request, attempt *ClientAttempt) (reusable bool) {
	if _, err := c.reader.Peek(1); err != nil {
		attempt.Err = err
		return false
	}
	attempt.ResponseStarted = true
	response, err := c.readResponse(request.ID)
	if err != nil {
		attempt.Err = err
		return false
	}
	attempt.Status = response.StatusCode
	return !response.Close && attempt.Err == nil
}

// readResponse reads a complete response. One of status 200 must have the request's id as its body.
func (c *Conn) readResponse(id string) (*http.Response, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK && string(body) != id {
		return nil, fmt.Errorf("answered with %q", body)
	}
	return response, nil
}
