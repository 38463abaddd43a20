package gateway

import (
	"io"
	"net/http"
	"sync/atomic"

	"amberlb/internal/wire"
)

// readyPath answers 200 while the gateway takes clients.
const readyPath = "/health/ready"

// frontend serves clients.
type frontend struct {
	loop       *eventLoop
	deployment *wire.Deployment
	ready      atomic.Bool
	draining   atomic.Bool // connections are closed after their answer
	rejecting  atomic.Bool // nothing new is taken
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
