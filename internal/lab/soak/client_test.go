package soak

import (
	"io"
	"net"
	"testing"
	"time"
)

// An attempt is recorded as disconnected if the client closed the connection at any point of the response, and not if
// the gateway closed the connection.
func TestDisconnectIsDistinguishedFromAClosedConnection(t *testing.T) {
	for name, c := range map[string]struct {
		response        string
		disconnectAfter time.Duration // 0: the client does not disconnect
		gatewayCloses   bool
		disconnected    bool
		status          int
	}{
		"disconnect before the answer": {
			disconnectAfter: 50 * ms,
			disconnected:    true,
		},
		"disconnect in the status line": {
			response:        "HTTP/1.1 20",
			disconnectAfter: 50 * ms,
			disconnected:    true,
		},
		"disconnect in the body": {
			response:        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na",
			disconnectAfter: 50 * ms,
			disconnected:    true,
		},
		"disconnect due after the answer": {
			response:        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
			disconnectAfter: time.Minute,
			status:          200,
		},
		"closed before the disconnect was due": {
			response:        "HTTP/1.1 20",
			disconnectAfter: time.Minute,
			gatewayCloses:   true,
		},
		"closed and no disconnect due": {
			gatewayCloses: true,
		},
		"rejected and no disconnect due": {
			response: "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
			status:   503,
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, gateway := connectedPair(t)
			io.WriteString(gateway, c.response)
			if c.gatewayCloses {
				gateway.CloseWrite()
			}
			request := Request{ID: "a", Class: "c", Method: "GET", Timeout: time.Second, DisconnectAfter: c.disconnectAfter}
			attempt, _ := client.Do(request)
			if attempt.Disconnected != c.disconnected || attempt.Status != c.status {
				t.Errorf("disconnected %t, status %d, %v", attempt.Disconnected, attempt.Status, attempt.Err)
			}
		})
	}
}

// connectedPair returns both ends of a connection over loopback, which are closed at the end of the test.
func connectedPair(t *testing.T) (client *Conn, gateway *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	client, err = Dial(NewClock(), listener.Addr().String(), 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return client, accepted.(*net.TCPConn)
}
