package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"amberlb/internal/wire"
	"amberlb/policy"
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

// singleHeaders are the headers that may stand but once. Of two, the backend
// might go by another than the decisions did.
var singleHeaders = []string{correlationIDHeader, classHeader, planHeader, apiKeyHeader, timeLeftHeader, idempotencyKeyHeader, quotaHeader, retryHeader}

// clientRequest is one request of a client, from its last byte to its final answer.
type clientRequest struct {
	correlationID string         // the client's own
	decoded       policy.Request // the loop gives it its id
	method        string
	uri           string
	host          string
	header        http.Header // what goes on to a backend
	body          []byte

	// reply takes the one final answer; the loop sends it and never waits.
	response chan clientResponse
	// sent is called by a hollow gateway as the first of its attempts reaches a backend; else nil.
	onSent       func()
	disconnected atomic.Bool // the client has; no attempt is to begin any more

	// The loop's own:
	unanswered       bool // the final answer has not been given
	attemptsInFlight int  // attempts out
	attempts         []*attempt
}

// clientResponse is what a client is told.
type clientResponse struct {
	status     int
	retryAfter float64 // seconds; 0: no advice
	header     http.Header
	body       []byte
}

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

// decode takes a request in, whole, or says with which status it is turned down.
func (f *frontend) decode(w http.ResponseWriter, r *http.Request) (*clientRequest, int, error) {
	now := f.loop.clock.now()
	switch {
	case !r.ProtoAtLeast(1, 1):
		// Its framing is that of another time; net/http drops a Transfer-Encoding there unseen.
		return nil, http.StatusHTTPVersionNotSupported, errors.New("HTTP/1.1 is wanted")
	case len(r.TransferEncoding) > 0:
		// Beside it may have stood a Content-Length, which net/http drops unseen, and another
		// request in the body as counted by that. A length is asked for, as RFC 9110, 15.5.12 allows.
		return nil, http.StatusLengthRequired, errors.New("a body needs a Content-Length")
	}
	req := &clientRequest{method: r.Method, uri: r.RequestURI, host: r.Host, response: make(chan clientResponse, 1)}
	decoded, err := f.decodeHeaders(r)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	req.decoded = decoded
	req.correlationID = r.Header.Get(correlationIDHeader)
	class := &f.deployment.Classes[decoded.Class]
	switch idempotencyKey := r.Header.Get(idempotencyKeyHeader); {
	case class.Idempotency == policy.Idempotent && r.Method != http.MethodGet,
		class.Idempotency != policy.Idempotent && r.Method != http.MethodPost:
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s does not fit the class", r.Method)
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return nil, http.StatusBadRequest, errors.New("a GET has no body")
	case class.Idempotency == policy.IdempotentByKey && idempotencyKey == "":
		return nil, http.StatusBadRequest, errors.New(idempotencyKeyHeader + " is missing")
	case len(idempotencyKey) > maxIDBytes:
		return nil, http.StatusBadRequest, errors.New(idempotencyKeyHeader + " is too long")
	case r.ContentLength > maxBodyBytes:
		return nil, http.StatusRequestEntityTooLarge, errBodyTooLong
	}
	if r.ContentLength != 0 {
		req.body, err = readBody(http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength)
		if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
			return nil, http.StatusRequestEntityTooLarge, errBodyTooLong
		} else if errors.Is(err, os.ErrDeadlineExceeded) {
			conn := clientConnOf(r)
			return nil, conn.table.incompleteStatus(conn), fmt.Errorf("body: %w", err)
		} else if err != nil {
			return nil, http.StatusBadRequest, fmt.Errorf("body: %w", err)
		}
		io.Copy(io.Discard, r.Body) // to its end: only then does the server watch for a client that leaves
		now = f.loop.clock.now()    // a request's time counts from its last byte
	}
	if conn := clientConnOf(r); conn != nil {
		now -= conn.takeFirstRequestDelay().Seconds()
	}
	// The time-out for reading the request would end the watch.
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	req.decoded.SentAt = now
	// A client that claims hours would hold its request, and a stop, for as long as a backend hangs.
	req.decoded.Deadline = min(req.decoded.Deadline, class.Deadline) + now - responseMargin
	req.header = forwardedHeaders(r.Header)
	return req, 0, nil
}

// decodeHeaders reads the headers that the decisions need. Nothing has a default: a
// request that is not understood might be charged to the wrong customer or
// repeated against its class.
func (f *frontend) decodeHeaders(r *http.Request) (policy.Request, error) {
	var decoded policy.Request
	header := r.Header
	for _, name := range singleHeaders {
		if len(header[name]) > 1 {
			return decoded, errors.New(name + " stands more than once")
		}
	}
	if id := header.Get(correlationIDHeader); id == "" || len(id) > maxIDBytes {
		return decoded, errors.New(correlationIDHeader + " is missing or too long")
	}
	class := header.Get(classHeader)
	if decoded.Class = slices.Index(f.deployment.ClassNames, class); decoded.Class < 0 {
		return decoded, errors.New(classHeader + " names no class")
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != class || strings.HasPrefix(r.RequestURI, "//") {
		return decoded, errors.New("the path is not one of the class")
	}
	if decoded.Plan = slices.Index(f.deployment.PlanNames, header.Get(planHeader)); decoded.Plan < 0 {
		return decoded, errors.New(planHeader + " names no plan")
	}
	customer := header.Get(apiKeyHeader)
	n, err := strconv.ParseUint(customer, 16, 64)
	if err != nil || len(customer) != 16 || n >= customerIDLimit {
		return decoded, errors.New(apiKeyHeader + " is not the number of a customer")
	}
	decoded.Customer = policy.CustomerID(n)
	timeLeft, err := strconv.ParseInt(header.Get(timeLeftHeader), 10, 64)
	if err != nil || timeLeft <= 0 || timeLeft > maxClientTimeout.Milliseconds() {
		return decoded, errors.New(timeLeftHeader + " is not a time in milliseconds")
	}
	decoded.Deadline = float64(timeLeft) / 1000 // from when it is whole
	decoded.IsRetry = header.Get(retryHeader) == "1"
	return decoded, f.decodeQuota(&decoded, header.Get(quotaHeader))
}

// decodeQuota reads the units of a request and the gateways of its customer.
func (f *frontend) decodeQuota(decoded *policy.Request, text string) error {
	seen := ""
	for pair := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if strings.Contains(seen, key+"=") {
			return fmt.Errorf("%s: %s stands more than once", quotaHeader, key)
		}
		seen += key + "="
		var err error
		switch key {
		case "units":
			decoded.Units, err = strconv.ParseFloat(value, 64)
		case "spread":
			decoded.Gateways, err = strconv.Atoi(value)
		case "first":
			decoded.FirstGateway, err = strconv.Atoi(value)
		}
		if err != nil {
			return fmt.Errorf("%s: %s is not a number", quotaHeader, key)
		}
	}
	maxUnits := f.deployment.MaxUnits
	if maxUnits <= 0 {
		maxUnits = math.MaxInt32
	}
	if !(decoded.Units > 0 && decoded.Units <= maxUnits) || decoded.Gateways < 1 || decoded.Gateways > f.deployment.FleetSize ||
		decoded.FirstGateway < 0 || decoded.FirstGateway >= f.deployment.FleetSize {
		return errors.New(quotaHeader + ": units, spread or first is missing or out of range")
	}
	return nil
}

// hopByHop are the headers that end at this gateway.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// forwardedHeaders returns the headers for the other side: all but those that belong to
// the connection. It uses up h.
func forwardedHeaders(header http.Header) http.Header {
	for _, named := range header["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != correlationIDHeader && name != idempotencyKeyHeader {
				delete(header, name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
	return header
}

// write gives the answer to the client.
func (a clientResponse) write(w http.ResponseWriter) {
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	if a.status != http.StatusOK {
		if a.retryAfter > 0 {
			h["Retry-After"] = []string{strconv.FormatFloat(math.Ceil(a.retryAfter*1000)/1000, 'f', -1, 64)}
		}
		h["Content-Length"] = []string{"0"}
		w.WriteHeader(a.status)
		return
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // the backend named none, and guessing costs time
	}
	h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	w.WriteHeader(a.status)
	w.Write(a.body) // an error means that the client has left
}
