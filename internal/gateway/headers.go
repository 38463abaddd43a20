package gateway

import (
	"net/http"
	"strings"
)

// singleHeaders are the headers that may stand but once. Of two, the backend
// might go by another than the decisions did.
var singleHeaders = []string{correlationIDHeader, classHeader, planHeader, apiKeyHeader, timeLeftHeader, idempotencyKeyHeader, quotaHeader, retryHeader}

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
