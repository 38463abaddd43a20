package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Attempt is one request that has reached a backend whole.
type Attempt struct {
	ID       string // correlation id
	Method   string
	Target   string
	Body     []byte
	TimeLeft string
	At       time.Time // when its last byte arrived
	Conn     net.Conn
	Reader   *bufio.Reader // reads from Conn
	Backend  *Backend
}

// Backend is a backend that hands each whole request to a handler, one at a time on a connection.
type Backend struct {
	Name    string
	Address string
	lab     *Lab
	handle  func(*Attempt) (keep bool)
}

// StartBackend starts a backend. The handler writes the answer and says whether the connection is kept.
func (l *Lab) StartBackend(name string, handle func(*Attempt) (keep bool)) (*Backend, error) {
	listener, err := l.Listen()
	if err != nil {
		return nil, err
	}
	b := &Backend{Name: name, Address: listener.Addr().String(), lab: l, handle: handle}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

func (b *Backend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 8<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		b.lab.Logf("%s: got %s %s %s whole", b.Name, request.Method, request.RequestURI, request.Header.Get("X-Correlation-Id"))
		keep := b.handle(&Attempt{
			ID: request.Header.Get("X-Correlation-Id"), Method: request.Method, Target: request.RequestURI, Body: body,
			TimeLeft: request.Header.Get("X-Time-Left-Ms"), At: time.Now(), Conn: conn, Reader: reader, Backend: b,
		})
		if !keep {
			return
		}
	}
}

// Entry returns the backend's entry in discovery's list.
func (b *Backend) Entry(address, zone string) Entry {
	return Entry{ID: b.Name, HostPort: address, Zone: zone, Kind: "small-fast", Lifecycle: "Ready", Weight: 1}
}

// Answer returns a whole answer with a length.
func Answer(body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
