package standin

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Request is one request of a client, in the form of the protocol page.
type Request struct {
	ID       string
	Class    string
	Method   string // "GET" or "POST"
	Path     string // behind the class, such as "/17"
	Plan     string
	Customer uint64
	Timeout  time.Duration
	Units    int
	Spread   int
	First    int
	Body     []byte
}

var lastID atomic.Uint64

// runID distinguishes the ids of different runs.
var runID = rand.Uint32()

// NewID returns a fresh correlation id.
func NewID() string { return fmt.Sprintf("%08x%08x", runID, lastID.Add(1)) }

// Encode returns the bytes of the request.
func (r *Request) Encode() []byte {
	head := fmt.Appendf(nil, "%s /%s%s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n"+
		"X-Tier: %s\r\nX-Api-Key: %016x\r\nX-Time-Left-Ms: %d\r\nX-Call-Terms: units=%d,spread=%d,first=%d\r\n",
		r.Method, r.Class, r.Path, r.ID, r.Class, r.Plan, r.Customer, r.Timeout.Milliseconds(), r.Units, r.Spread, r.First)
	if r.Method == http.MethodPost {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", len(r.Body))
	}
	head = append(head, "\r\n"...)
	return append(head, r.Body...)
}

// Response is what a client got for a request.
type Response struct {
	Status int // 0: no whole answer
	Body   []byte
	Header http.Header
	Close  bool
	Err    error
	Took   time.Duration
}

// Client is one connection of a client. It sends one request at a time.
type Client struct {
	Address string
	Lab     *Lab // each request and its answer are written to its record
	conn    net.Conn
	reader  *bufio.Reader
}

// Do sends a request and waits for its answer, at most for the request's time and patience more.
func (c *Client) Do(r *Request, patience time.Duration) Response {
	sentAt := time.Now()
	response := c.try(r, patience)
	response.Took = time.Since(sentAt)
	c.Lab.Logf("client: sent %s /%s %s with %v left, answered %d after %v%s", r.Method, r.Class, r.ID, r.Timeout,
		response.Status, response.Took.Round(100*time.Microsecond), errorText(response.Err))
	if response.Status == 0 || response.Close {
		c.Close()
	}
	return response
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

func (c *Client) try(r *Request, patience time.Duration) Response {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Address, 3*time.Second)
		if err != nil {
			return Response{Err: fmt.Errorf("connect: %w", err)}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(time.Now().Add(r.Timeout + patience))
	if _, err := c.conn.Write(r.Encode()); err != nil {
		return Response{Err: fmt.Errorf("write: %w", err)}
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		return Response{Err: fmt.Errorf("read: %w", err)}
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return Response{Err: fmt.Errorf("body: %w", err)}
	}
	return Response{Status: answer.StatusCode, Body: body, Header: answer.Header, Close: answer.Close}
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
