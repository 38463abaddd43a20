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

// ClientAttempt is a client's record of sending a request once. Times are on the run's clock.
type ClientAttempt struct {
	ID               string // id of the request
	Class            string
	Gateway          int           // number of the gateway
	ProcessNumber    int           // number of the gateway's process when the connection was made, from 1
	Resent           bool          // the attempt is a resend, since the first connection ended without any byte of a response
	FirstByteAt      time.Duration // time at which the first byte was sent
	SentAt           time.Duration // time at which the last byte was sent; 0: the request was not sent completely
	Timeout          time.Duration // time for which the client waits for the response, from SentAt
	EndedAt          time.Duration // time of the complete response, of the connection's end or of the client's timeout
	Disconnected     bool          // the client closed the connection before the response was complete
	TargetDialFailed bool          // the proxy in front of the gateway could not connect to the gateway
	Status           int           // status of the complete response; 0: no complete response came
	ResponseStarted  bool          // at least one byte of a response came
	Err              error         // error that prevented a complete response
}

// Deadline returns the time at which the client's timeout ends.
func (a ClientAttempt) Deadline() time.Duration { return a.SentAt + a.Timeout }

// Conn is a connection of a client to a gateway.
type Conn struct {
	net.Conn
	reader        *bufio.Reader
	clock         Clock
	gateway       int    // number of the gateway
	processNumber int    // number of the gateway's process when the connection was made
	proxy         *Proxy // proxy between the client and the gateway; nil: none
}

// Dial opens a connection to the address of a gateway or of the proxy in front of it. The parameters gateway and
// processNumber are recorded in the attempts on the connection.
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

// closeProbeTimeout is the time for which PeerClosed waits for the gateway's close of an idle connection.
const closeProbeTimeout = 100 * time.Microsecond

// PeerClosed reports whether the client has received the gateway's close of the idle connection. It also returns true if
// the client has received bytes.
func (c *Conn) PeerClosed() bool {
	c.SetReadDeadline(time.Now().Add(closeProbeTimeout))
	_, err := c.reader.Peek(1)
	return !isTimeout(err)
}

// Do sends a request and waits for its response. It stops waiting when the client disconnects, or when a response would
// be too late. The result reusable reports whether another request may be sent on the connection.
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
	// If a client disconnects in the middle of a response, the error is that of parsing a truncated response. Therefore,
	// a disconnect is recognized by the time and not by the error.
	attempt.Disconnected = attempt.Err != nil && attempt.SentAt > 0 && request.DisconnectAfter > 0 &&
		attempt.EndedAt >= attempt.SentAt+request.DisconnectAfter
	attempt.TargetDialFailed = c.proxy != nil && c.proxy.TargetDialFailed(c.LocalAddr())
	return attempt, reusable
}

// send writes a request and returns the time for which the client waits for the response afterwards.
func (c *Conn) send(request Request, attempt *ClientAttempt) time.Duration {
	attempt.Err = c.writeRequest(request)
	if attempt.Err != nil {
		return timingMargin // the gateway may have answered and closed the connection before it had the whole request
	}
	attempt.SentAt = c.clock.Now()
	if request.DisconnectAfter > 0 {
		return request.DisconnectAfter
	}
	return request.Timeout + lateResponseLimit + timingMargin
}

// writeRequest writes a request in request.Pieces pieces.
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

// receive reads the response and records it in attempt. The result reusable reports whether another request may be sent
// on the connection.
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

// readResponse reads a complete response. The body of a response with status 200 has to be the request's id.
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
		return nil, fmt.Errorf("response body is %q, not the request's id", body)
	}
	return response, nil
}
