package gateway

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"amberlb/policy"
)

// The bounds of what a client may state in its headers.
const (
	maxIDBytes       = 256 // bytes of a correlation id or an idempotency key
	maxClientTimeout = time.Hour
	customerIDLimit  = 1 << 33 // customer ids are below it
)

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
		case unitsKey:
			decoded.Units, err = strconv.ParseFloat(value, 64)
		case gatewaysKey:
			decoded.Gateways, err = strconv.Atoi(value)
		case firstGatewayKey:
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
