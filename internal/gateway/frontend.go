package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"amberlb/internal/wire"
)

const (
	maxHeaderBytes   = 16 << 10 // bytes
	maxIDBytes       = 256      // bytes of an id or a key
	maxClientTimeout = time.Hour
	readTimeout      = 2500 * time.Millisecond // for a whole request; 3 s after connecting a client is owed an error or a close
	writeTimeout     = 10 * time.Second
	idleTimeout      = 2 * time.Minute
	readyPath        = "/health/ready"

	correlationIDHeader  = "X-Correlation-Id"
	classHeader          = "X-Service-Class"
	planHeader           = "X-Tier"
	apiKeyHeader         = "X-Api-Key"
	idempotencyKeyHeader = "Idempotency-Key"
	quotaHeader          = "X-Call-Terms"
	retryHeader          = "X-Repeat"

	customerIDLimit = 1 << 33 // ids are below it
)

// frontend serves clients.
type frontend struct {
	loop       *eventLoop
	deployment *wire.Deployment
	ready      atomic.Bool
	draining   atomic.Bool // connections are closed after their answer
	rejecting  atomic.Bool // nothing new is taken
}

// newServer serves the clients of c, whose requests are held for the given time at
// most.
func (f *frontend) newServer(clients *clientConnections, maxRequestTime time.Duration) *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: maxHeaderBytes, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, WriteTimeout: readTimeout + maxRequestTime + writeTimeout, ConnState: clients.onConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, conn)
		}}
}

// connContextKey is the key of a request's connection in its context.
type connContextKey struct{}

// clientConnOf returns the connection that a request came on; nil outside of a server.
func clientConnOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(connContextKey{}).(*clientConn)
	return conn
}

func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == readyPath {
		if f.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if !f.ready.Load() || f.draining.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
		return
	}
	req, status, err := f.decode(w, r)
	if err != nil {
		f.loop.metrics.add(requestsInvalid)
		// What follows a request that was not understood may be a part of it.
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), status)
		return
	}
	conn := clientConnOf(r)
	if peerClosed(conn.Conn) {
		// Its connection may have waited long to be accepted, and the server's watch for a client that
		// leaves has only just begun.
		f.answerDisconnected(w)
		return
	}
	if f.rejecting.Load() {
		f.loop.metrics.add(requestsWhileDraining)
		// What is taken so late may still be out when the gateway is killed.
		f.respond(w, clientResponse{status: http.StatusServiceUnavailable})
		return
	}
	conn.request.Store(req)
	defer conn.request.Store(nil)
	if !f.loop.post(requestArrived{req}) {
		f.respond(w, clientResponse{status: http.StatusInternalServerError})
		return
	}
	select {
	case response := <-req.response:
		f.respond(w, response)
	case <-r.Context().Done():
		req.disconnected.Store(true) // The loop may be behind by much, and what it has not read yet sends on
		f.loop.post(clientDisconnected{req})
		f.answerDisconnected(w)
	case <-f.loop.stopped:
		f.respond(w, clientResponse{status: http.StatusInternalServerError})
	}
}

// answerDisconnected ends the connection of a client that has left. One that has closed
// its sending alone still reads, and a handler that says nothing answers 200, which
// no backend has made.
func (f *frontend) answerDisconnected(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	f.respond(w, clientResponse{status: http.StatusBadGateway})
}

// respond gives the client its answer. A stop may have come since the request did.
func (f *frontend) respond(w http.ResponseWriter, response clientResponse) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	response.write(w)
}
