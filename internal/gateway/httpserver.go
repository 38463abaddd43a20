package gateway

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Limits of the HTTP server for clients.
const (
	maxHeaderBytes = 16 << 10 // bytes; limit on a request's header
	// readTimeout is the time limit for reading a whole request. A client whose request stays incomplete must get an
	// error or a close within 3 s of connecting.
	readTimeout  = 2500 * time.Millisecond
	writeTimeout = 10 * time.Second // time for writing an answer; newHTTPServer adds readTimeout and maxRequestTime
	idleTimeout  = 2 * time.Minute  // time limit for the wait between two requests
)

// newHTTPServer returns the HTTP server for the connections in clients. The longest time for which a request can be
// open is maxRequestTime.
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

// clientConnOf returns the connection on which a request arrived; nil if the request was not read by the HTTP server.
func clientConnOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(connContextKey{}).(*clientConn)
	return conn
}
