package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"amberlb/internal/wire"
)

// readyPath answers 200 while the gateway takes clients.
const readyPath = "/health/ready"

// frontend is the HTTP handler for clients: it decodes each request, hands it to the event loop and writes the one
// final answer.
type frontend struct {
	loop       *eventLoop
	deployment *wire.Deployment
	ready      atomic.Bool // there is a list of endpoints to forward by
	draining   atomic.Bool // a graceful shutdown has begun: connections are closed after their answer
	rejecting  atomic.Bool // it is too late in the shutdown to accept requests
}

// ServeHTTP answers one request of a client.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == readyPath {
		f.serveReadiness(w)
		return
	}
	req, err := f.decode(w, r)
	if err != nil {
		f.rejectInvalid(w, err)
		return
	}
	conn := clientConnOf(r)
	if peerClosed(conn.Conn) {
		// The connection may have waited long to be accepted, and the server's watch for a client that disconnects has
		// only just begun.
		f.answerDisconnected(w)
		return
	}
	if f.rejecting.Load() {
		f.rejectLate(w)
		return
	}
	conn.request.Store(req)
	defer conn.request.Store(nil)
	f.serveRequest(w, r, req)
}

// serveReadiness answers a health check.
func (f *frontend) serveReadiness(w http.ResponseWriter) {
	draining := f.draining.Load()
	if draining {
		w.Header().Set("Connection", "close")
	}
	if draining || !f.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// rejectInvalid answers a request that could not be decoded, and closes its connection: what follows the request may be
// a part of it.
func (f *frontend) rejectInvalid(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var invalid *requestError
	if errors.As(err, &invalid) {
		status = invalid.status
	}
	f.loop.metrics.add(requestsInvalid)
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// rejectLate answers a request that comes too late in a graceful shutdown: it might still be in flight when the gateway
// is killed.
func (f *frontend) rejectLate(w http.ResponseWriter) {
	f.loop.metrics.add(requestsWhileDraining)
	f.respond(w, clientResponse{status: http.StatusServiceUnavailable})
}

// serveRequest hands a request to the loop and writes its final answer. It returns early if the client disconnects or
// the loop ends.
func (f *frontend) serveRequest(w http.ResponseWriter, r *http.Request, req *clientRequest) {
	if !f.loop.post(requestArrived{req}) {
		f.respond(w, clientResponse{status: http.StatusInternalServerError})
		return
	}
	select {
	case response := <-req.response:
		f.respond(w, response)
	case <-r.Context().Done():
		// The loop may be far behind, and messages that it has not read yet would start attempts.
		req.disconnected.Store(true)
		f.loop.post(clientDisconnected{req})
		f.answerDisconnected(w)
	case <-f.loop.stopped:
		f.respond(w, clientResponse{status: http.StatusInternalServerError})
	}
}

// answerDisconnected ends the connection of a client that has disconnected. A client that has closed only its sending
// side still reads, and a handler that writes nothing answers 200, which no backend has said.
func (f *frontend) answerDisconnected(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	f.respond(w, clientResponse{status: http.StatusBadGateway})
}

// respond writes an answer to the client. A graceful shutdown may have begun since the request arrived, and then the
// connection is closed after it.
func (f *frontend) respond(w http.ResponseWriter, response clientResponse) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	response.write(w)
}
