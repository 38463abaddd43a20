package backend

import (
	"bufio"
	"net"
	"time"

	"amberlb/internal/lab/request"
)

const (
	idleTimeout  = 30 * time.Second // time without a request after which a connection is closed
	writeTimeout = 10 * time.Second // longest wait for a client that doesn't read its response
	maxLineBytes = 4 << 10          // largest size of a line of a request
)

// okResponse is the response to every request, including health checks.
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"

// serve serves the requests of one connection, one at a time.
func (p *Pool) serve(conn net.Conn) {
	defer conn.Close()
	e := p.connOpened(conn.LocalAddr())
	if e == nil {
		return
	}
	defer p.connClosed(e)
	reader := bufio.NewReaderSize(conn, maxLineBytes)
	var q request.Request
	for {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		if err := q.Read(reader); err != nil {
			return
		}
		if isHealthCheck(&q) {
			p.probes.Add(1)
		} else {
			p.countRequest(e)
			time.Sleep(p.options.ServiceTime)
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := conn.Write([]byte(okResponse))
		if err != nil || q.Close {
			return
		}
	}
}

// isHealthCheck reports whether a request is a health check, to which a backend responds without delay.
func isHealthCheck(q *request.Request) bool {
	target := string(q.Target)
	return target == "/health/live" || target == "/stats"
}
