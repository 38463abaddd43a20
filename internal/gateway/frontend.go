package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"amberlb/internal/wire"
)

// readyPath is the path of the readiness check, which is answered 200 while the gateway is ready and not draining.
const readyPath = "/health/ready"

// frontend is the HTTP handler for clients. It decodes each request, hands the request to the event loop and writes the
// final answer.
type frontend struct {
	loop       *eventLoop
	deployment *wire.Deployment
	memory     *memoryBudget // for the bytes of requests
	ready      atomic.Bool   // readiness checks may be answered 200; set by markReady
	draining   atomic.Bool   // a graceful shutdown has begun: each connection is closed after its next answer
	rejecting  atomic.Bool   // a graceful shutdown has stopped admitting requests
}

// newFrontend returns a frontend without an event loop. The caller sets the loop before the first request.
func newFrontend(config *Config) *frontend {
	return &frontend{
		deployment: &config.Deployment,
		memory:     newMemoryBudget(requestsKind, config.limits().requestBytes, config.logger()),
	}
}

// ServeHTTP handles one request of a client.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := clientConnOf(r)
	defer conn.headMemory.release() // does nothing if the request has taken the memory
	if conn.framer.isUnframed() || conn.clientGone {
		w.Header().Set("Connection", "close") // no further request can be read
	}
	if r.URL.Path == readyPath {
		f.serveReadiness(w)
		return
	}
	req, err := f.decode(w, r)
	if errors.Is(err, errBodyStalled) {
		f.loop.metrics.add(requestsStalled)
		conn.rejectIncomplete(http.StatusServiceUnavailable)
		panic(http.ErrAbortHandler) // closes the connection at once; the HTTP server would wait before it closes
	}
	if err != nil {
		f.rejectUndecoded(w, err)
		return
	}
	defer req.removeOwner()
	if conn.clientGone {
		// The client may have disconnected while its request waited to be read, before the HTTP server began to watch for a
		// disconnect.
		f.answerDisconnected(w, conn)
		return
	}
	if f.rejecting.Load() {
		f.rejectLate(w, conn)
		return
	}
	req.clientConn = conn.Conn
	conn.request.Store(req)
	defer conn.request.Store(nil)
	f.serveRequest(w, r, conn, req)
}

// serveReadiness answers a readiness check.
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

// rejectUndecoded answers a request that could not be decoded, since it is invalid or for lack of memory. It closes the
// connection, since the next bytes on the connection may still be a part of the request.
func (f *frontend) rejectUndecoded(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var invalid *requestError
	if errors.As(err, &invalid) {
		status = invalid.status
	}
	if errors.Is(err, errMemoryExhausted) {
		f.setRetryAfter(w)
	} else {
		f.loop.metrics.add(requestsInvalid)
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// setRetryAfter makes a rejection for lack of capacity say when the client may retry, if the deployment allows it.
func (f *frontend) setRetryAfter(w http.ResponseWriter) {
	if value := f.retryAfter(); value != "" {
		w.Header().Set("Retry-After", value)
	}
}

// retryAfter returns the value of Retry-After in rejections for lack of capacity; "" if the deployment allows none.
func (f *frontend) retryAfter() string {
	seconds := f.deployment.LongestRetryAfter()
	if seconds <= 0 {
		return ""
	}
	return formatRetryAfter(seconds)
}

// rejectLate rejects a request that arrives too late in a graceful shutdown: the request might still be open when the
// process is killed.
func (f *frontend) rejectLate(w http.ResponseWriter, conn *clientConn) {
	f.loop.metrics.add(requestsWhileDraining)
	f.respond(w, conn, clientResponse{status: http.StatusServiceUnavailable})
}

// serveRequest hands a request to the event loop and writes its final answer. It stops waiting for the answer if the
// client disconnects or the loop ends.
func (f *frontend) serveRequest(w http.ResponseWriter, r *http.Request, conn *clientConn, req *clientRequest) {
	req.addOwner()
	if !f.loop.post(requestArrived{req}) {
		req.removeOwner()
		f.respond(w, conn, clientResponse{status: http.StatusInternalServerError})
		return
	}
	select {
	case response := <-req.response:
		f.respond(w, conn, response)
	case <-r.Context().Done():
		// Setting disconnected takes effect at once. The event loop may have to handle other messages before
		// clientDisconnected, and those messages could start attempts.
		req.disconnected.Store(true)
		f.loop.post(clientDisconnected{req})
		f.answerDisconnected(w, conn)
	case <-f.loop.stopped:
		f.respond(w, conn, clientResponse{status: http.StatusInternalServerError})
	}
}

// answerDisconnected closes the connection of a client that has disconnected. A client that has closed only its sending
// side still reads the answer, so answerDisconnected writes an error: for a handler that writes nothing, net/http would
// send a 200, although no backend has served the request.
func (f *frontend) answerDisconnected(w http.ResponseWriter, conn *clientConn) {
	w.Header().Set("Connection", "close")
	f.respond(w, conn, clientResponse{status: http.StatusBadGateway})
}

// respond writes an answer to the client. It also closes the connection if a graceful shutdown has begun, even if the
// shutdown began after the request arrived.
func (f *frontend) respond(w http.ResponseWriter, conn *clientConn, response clientResponse) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	conn.answered(response.status)
	response.write(w)
}
