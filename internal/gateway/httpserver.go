package gateway

import (
	"context"
	"net"
	"net/http"
	"time"
)

// The limits of the HTTP server for clients.
const (
	maxHeaderBytes = 16 << 10 // bytes of a request's head
	// readTimeout is for a whole request: 3 s after connecting a client is owed an error or a close.
	readTimeout  = 2500 * time.Millisecond
	writeTimeout = 10 * time.Second // for the answer, from when the request must have one
	idleTimeout  = 2 * time.Minute  // between two requests
)

// newHTTPServer returns the server of the connections in clients. No request is open for longer than maxRequestTime.
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

// connContextKey is the key of a request's connection in its context.
type connContextKey struct{}

// clientConnOf returns the connection that a request came on; nil outside of a server.
func clientConnOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(connContextKey{}).(*clientConn)
	return conn
}
