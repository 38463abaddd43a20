package gateway

import (
	"net/http"
	"slices"
	"strings"
)

// The headers of a client's request that the decisions read, by the field's terms. The protocol's own names stand here
// alone.
const (
	correlationIDHeader  = "X-Correlation-Id" // the client's id of the request
	classHeader          = "X-Service-Class"  // the service class
	planHeader           = "X-Tier"           // the customer's plan
	apiKeyHeader         = "X-Api-Key"        // the customer, as 16 hex digits
	idempotencyKeyHeader = "Idempotency-Key"  // by which a backend recognises a retry
	quotaHeader          = "X-Call-Terms"     // the units of the request and the gateways of its customer
	retryHeader          = "X-Repeat"         // "1" for a retry by the client
	timeLeftHeader       = "X-Time-Left-Ms"   // milliseconds left for the request; to a backend as well
)

// The headers of a backend's response that are read.
const (
	loadHeader        = "X-Backend-Load" // the backend's own account of its load
	unprocessedHeader = "X-Unprocessed"  // "1": nothing of the request was executed
)

// The keys of the pairs in quotaHeader.
const (
	unitsKey        = "units"  // quota units that the request costs
	gatewaysKey     = "spread" // number of gateways that serve the customer
	firstGatewayKey = "first"  // index in the fleet of the first of them
)

// singleHeaders lists the headers that may occur once at most. Of two, the backend might read the other one than the
// decisions did.
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

// hopByHopHeaders lists the headers that belong to one connection and end at this gateway.
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
// the idempotency key must reach the backend whatever the client says of its connection.
var endToEndHeaders = []string{
	correlationIDHeader,
	idempotencyKeyHeader,
}

// forwardedHeaders returns the headers for the other side: all but those that belong to the connection. It modifies
// header and returns it.
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
