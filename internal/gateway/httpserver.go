package gateway

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Limits of the HTTP server for clients.
const (
	maxHeaderBytes = 16 << 10 // bytes of a request's header
	// readTimeout is the limit for reading a whole request. The client must get an error or a close within 3 s of
	// connecting.
	readTimeout  = 2500 * time.Millisecond
	writeTimeout = 10 * time.Second // for writing the answer, from the latest time at which it is decided
	idleTimeout  = 2 * time.Minute  // between two requests
)

// newHTTPServer returns the HTTP server for the connections in clients. No request may stay open for longer than
// maxRequestTime.
func (f *frontend) newHTTPServer(clients *clientConnections, maxRequestTime time.Duration) *http.Server {
	return &http.Server{
		Handler:        f,
		MaxHeaderBytes: maxHeaderBytes,
		ReadTimeout:    readTimeout,
		IdleTimeout:    idleTimeout,
		WriteTimeout:   readTimeout + maxRequestTime + writeTimeout,
		ConnState:      clients.onConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, conn)
		},
	}
}

// connContextKey is the key under which a request's context holds its connection.
type connContextKey struct{}

// clientConnOf returns the connection on which a request arrived; nil if the request did not come from a server.
func clientConnOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(connContextKey{}).(*clientConn)
	return conn
}
