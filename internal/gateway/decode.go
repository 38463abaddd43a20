package gateway

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"amberlb/policy"
)

// Limits on the values in a client's headers.
const (
	maxIDBytes       = 256 // bytes; limit on a correlation id or an idempotency key
	maxClientTimeout = time.Hour
	customerIDDigits = 16      // hex digits of a customer id
	customerIDLimit  = 1 << 33 // customer ids are below this limit
)

// requestError says why a client's request is invalid. An invalid request reaches neither the policy engine nor a
// backend.
type requestError struct {
	status int   // the HTTP status of the answer, 4xx or 5xx
	err    error // the cause; its text is the body of the answer
}

// Error returns the text of the cause, without the status.
func (e *requestError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *requestError) Unwrap() error { return e.err }

// badRequest returns a requestError with status 400 and a formatted cause.
func badRequest(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Errorf(format, args...)}
}

// decode reads a client's request with its whole body and validates the request. Its error is a *requestError. After a
// return without an error, the HTTP server watches for a disconnect of the client: the body has been read to its end,
// and the read deadline, which would end the watch, has been cleared.
func (f *frontend) decode(w http.ResponseWriter, r *http.Request) (*clientRequest, error) {
	if err := checkFraming(r); err != nil {
		return nil, err
	}
	policyRequest, err := f.decodeHeaders(r)
	if err != nil {
		return nil, err
	}
	class := &f.deployment.Classes[policyRequest.Class]
	if err := checkAgainstClass(r, class.Idempotency); err != nil {
		return nil, err
	}
	// The class's deadline limits the client's timeout. Otherwise, while a backend hangs, a client with a timeout of an
	// hour could keep its request open for that long, and delay a graceful shutdown.
	timeout := min(policyRequest.Deadline, class.Deadline)
	body, err := f.receiveBody(r, timeout)
	if err != nil {
		return nil, err
	}
	receivedAt := f.receivedAt(r)
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	policyRequest.SentAt = receivedAt
	policyRequest.Deadline = timeout + receivedAt - responseMargin
	req := &clientRequest{
		correlationID: r.Header.Get(correlationIDHeader),
		policyRequest: policyRequest,
		method:        r.Method,
		uri:           r.RequestURI,
		host:          r.Host,
		header:        forwardedHeaders(r.Header),
		body:          body.bytes,
		memory:        body.memory,
		response:      make(chan clientResponse, 1),
	}
	req.addOwner()
	return req, nil
}

// receivedAt returns the earliest time at which the last byte of a complete request can have arrived, in seconds of the
// loop's clock. The client's timeout counts from that time.
func (f *frontend) receivedAt(r *http.Request) float64 {
	now := f.loop.clock.now()
	if conn := clientConnOf(r); conn != nil {
		return now - time.Since(conn.unreadSince).Seconds()
	}
	return now
}

// checkFraming rejects a request if net/http and a backend might find the end of the request at different bytes.
func checkFraming(r *http.Request) error {
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 frames requests by other rules, and net/http silently drops its Transfer-Encoding header.
		return &requestError{http.StatusHTTPVersionNotSupported, errors.New("HTTP/1.1 is wanted")}
	}
	if len(r.TransferEncoding) > 0 {
		// The request may have had a Content-Length too, which net/http silently drops. A backend that uses that length
		// could find another request inside the body. RFC 9110, 15.5.12 allows a server to require a length.
		return &requestError{http.StatusLengthRequired, errors.New("a body needs a Content-Length")}
	}
	return nil
}

// checkAgainstClass rejects a request whose method or idempotency key is not allowed for its class, and a request with
// a body that is not allowed or too long.
func checkAgainstClass(r *http.Request, idempotency policy.Idempotency) error {
	wantMethod := http.MethodPost
	if idempotency == policy.Idempotent {
		wantMethod = http.MethodGet
	}
	idempotencyKey := r.Header.Get(idempotencyKeyHeader)
	switch {
	case r.Method != wantMethod:
		return &requestError{http.StatusMethodNotAllowed, fmt.Errorf("method %s does not fit the class", r.Method)}
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return badRequest("a GET has no body")
	case idempotency == policy.IdempotentByKey && idempotencyKey == "":
		return badRequest("%s is missing", idempotencyKeyHeader)
	case len(idempotencyKey) > maxIDBytes:
		return badRequest("%s is too long", idempotencyKeyHeader)
	case r.ContentLength > maxBodyBytes:
		return &requestError{http.StatusRequestEntityTooLarge, errBodyTooLong}
	}
	return nil
}

// decodeHeaders reads the headers that the policy engine needs. In its result, Deadline is the client's timeout in
// seconds; decode turns the timeout into a clock time. Only retryHeader may be missing. A default for another header
// might charge the request to the wrong customer, or allow a retry that the class forbids.
func (f *frontend) decodeHeaders(r *http.Request) (policy.Request, error) {
	var decoded policy.Request
	if err := checkSingleHeaders(r.Header); err != nil {
		return decoded, err
	}
	if id := r.Header.Get(correlationIDHeader); id == "" || len(id) > maxIDBytes {
		return decoded, badRequest("%s is missing or too long", correlationIDHeader)
	}
	var err error
	decoded.Class, err = f.decodeClass(r)
	if err != nil {
		return decoded, err
	}
	decoded.Plan = slices.Index(f.deployment.PlanNames, r.Header.Get(planHeader))
	if decoded.Plan < 0 {
		return decoded, badRequest("%s names no plan", planHeader)
	}
	decoded.Customer, err = decodeCustomer(r.Header.Get(apiKeyHeader))
	if err != nil {
		return decoded, err
	}
	decoded.Deadline, err = decodeTimeout(r.Header.Get(timeLeftHeader))
	if err != nil {
		return decoded, err
	}
	decoded.IsRetry = r.Header.Get(retryHeader) == "1"
	return decoded, f.decodeQuota(&decoded, r.Header.Get(quotaHeader))
}

// checkSingleHeaders rejects a request that repeats one of singleHeaders.
func checkSingleHeaders(header http.Header) error {
	for _, name := range singleHeaders {
		if len(header[name]) > 1 {
			return badRequest("%s stands more than once", name)
		}
	}
	return nil
}

// decodeClass returns the index of a request's class. The first segment of the path must be the name of the class.
func (f *frontend) decodeClass(r *http.Request) (int, error) {
	name := r.Header.Get(classHeader)
	class := slices.Index(f.deployment.ClassNames, name)
	if class < 0 {
		return 0, badRequest("%s names no class", classHeader)
	}
	firstSegment, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if firstSegment != name || strings.HasPrefix(r.RequestURI, "//") {
		return 0, badRequest("the path is not one of the class")
	}
	return class, nil
}

// decodeCustomer parses an API key, which is the customer's id in hex digits.
func decodeCustomer(key string) (policy.CustomerID, error) {
	id, err := strconv.ParseUint(key, 16, 64)
	if err != nil || len(key) != customerIDDigits || id >= customerIDLimit {
		return 0, badRequest("%s is not the number of a customer", apiKeyHeader)
	}
	return policy.CustomerID(id), nil
}

// decodeTimeout parses a client's timeout in milliseconds and returns it in seconds.
func decodeTimeout(text string) (float64, error) {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 || millis > maxClientTimeout.Milliseconds() {
		return 0, badRequest("%s is not a time in milliseconds", timeLeftHeader)
	}
	return float64(millis) / 1000, nil
}

// decodeQuota parses the value of quotaHeader, which holds the units of a request and the gateways that serve its
// customer. It checks the ranges of the numbers, and ignores unknown keys.
func (f *frontend) decodeQuota(decoded *policy.Request, text string) error {
	seenKeys := "" // keys that were seen, each followed by "="; their suffixes count as seen too
	for pair := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if strings.Contains(seenKeys, key+"=") {
			return badRequest("%s: %s stands more than once", quotaHeader, key)
		}
		seenKeys += key + "="
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
			return badRequest("%s: %s is not a number", quotaHeader, key)
		}
	}
	if !f.quotaInRange(decoded) {
		return badRequest("%s: units, spread or first is missing or out of range", quotaHeader)
	}
	return nil
}

// quotaInRange reports whether the units of a request, and the gateways that serve its customer, are valid in this
// deployment.
func (f *frontend) quotaInRange(decoded *policy.Request) bool {
	maxUnits := f.deployment.MaxUnits
	if maxUnits <= 0 {
		maxUnits = math.MaxInt32
	}
	fleetSize := f.deployment.FleetSize
	return decoded.Units > 0 && decoded.Units <= maxUnits && // the comparison is false for NaN
		decoded.Gateways >= 1 && decoded.Gateways <= fleetSize &&
		decoded.FirstGateway >= 0 && decoded.FirstGateway < fleetSize
}
