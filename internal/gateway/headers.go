package gateway

import (
	"net/http"
	"slices"
	"strings"
)

// The headers of a client's request that the gateway reads. The constants are named by the usual terms of the field,
// which differ from the names in the protocol.
const (
	correlationIDHeader  = "X-Correlation-Id" // the id that the client gave the request
	classHeader          = "X-Service-Class"  // the service class
	planHeader           = "X-Tier"           // the customer's plan
	apiKeyHeader         = "X-Api-Key"        // the customer's id, as 16 hex digits
	idempotencyKeyHeader = "Idempotency-Key"  // lets a backend recognize a retry
	quotaHeader          = "X-Call-Terms"     // the units of the request and the gateways that serve its customer
	retryHeader          = "X-Repeat"         // "1" for a retry by the client
	timeLeftHeader       = "X-Time-Left-Ms"   // milliseconds until the client's timeout; also sent to backends
)

// The headers of a backend's response that the gateway reads.
const (
	loadHeader        = "X-Backend-Load" // the load that the backend reports
	unprocessedHeader = "X-Unprocessed"  // "1": the backend has executed nothing of the request
)

// The keys of the pairs in quotaHeader.
const (
	unitsKey        = "units"  // quota units that the request costs
	gatewaysKey     = "spread" // number of gateways that serve the customer
	firstGatewayKey = "first"  // index in the fleet of the first gateway that serves the customer
)

// singleHeaders lists the headers that may occur only once. If a header occurred twice, the gateway and the backend
// might use different values.
var singleHeaders = []string{
	correlationIDHeader,
	classHeader,
	planHeader,
	apiKeyHeader,
	timeLeftHeader,
	idempotencyKeyHeader,
	quotaHeader,
	retryHeader,
}

// hopByHopHeaders lists the headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
	"Expect",
}

// endToEndHeaders lists the headers that are forwarded even if a Connection header names them: the correlation id and
// the idempotency key must always reach the backend.
var endToEndHeaders = []string{
	correlationIDHeader,
	idempotencyKeyHeader,
}

// forwardedHeaders modifies and returns header. It removes hopByHopHeaders. It also removes the headers that a
// Connection header names, except endToEndHeaders.
func forwardedHeaders(header http.Header) http.Header {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !slices.Contains(endToEndHeaders, name) {
				delete(header, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
	return header
}

// headerSize returns the number of bytes of the names and values of a header.
func headerSize(header http.Header) int64 {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}
