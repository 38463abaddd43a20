package soak

import (
	"io"
	"net"
	"testing"
	"time"
)

// A client that leaves is told from one whose connection was ended under its answer, wherever in the answer that is.
func TestLeavingClient(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		leave  time.Duration
		ends   bool // the gateway ends the connection
		left   bool
		status int
	}{
		"before the answer":            {leave: 50 * ms, left: true},
		"in its first line":            {answer: "HTTP/1.1 20", leave: 50 * ms, left: true},
		"in its body":                  {answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na", leave: 50 * ms, left: true},
		"after it":                     {answer: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", leave: time.Minute, status: 200},
		"ended before it could leave":  {answer: "HTTP/1.1 20", leave: time.Minute, ends: true},
		"ended and would not leave":    {ends: true},
		"a refusal, and it would stay": {answer: "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", status: 503},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conn, err := Dial(NewClock(), l.Addr().String(), 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		far, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(far, c.answer)
		if c.ends {
			far.(*net.TCPConn).CloseWrite()
		}
		s, _ := conn.Do(Request{ID: "a", Class: "c", Method: "GET", Timeout: time.Second, DisconnectAfter: c.leave})
		if s.Disconnected != c.left || s.Status != c.status {
			t.Errorf("%s: left %t, status %d, %v", name, s.Disconnected, s.Status, s.Err)
		}
		conn.Close()
		far.Close()
		l.Close()
	}
}
