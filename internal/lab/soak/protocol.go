package soak

import "time"

// Header fields of the protocol that the clients or backends of the soak read or write.
const (
	idHeader      = "X-Correlation-Id"
	timeoutHeader = "X-Time-Left-Ms" // milliseconds for which the sender waits for the response
	classHeader   = "X-Service-Class"
	planHeader    = "X-Tier"
	clientHeader  = "X-Api-Key"
	keyHeader     = "Idempotency-Key"
	termsHeader   = "X-Call-Terms"
)

// Time limits that both the clients and Check use.
const (
	lateResponseLimit = 500 * time.Millisecond // how long after the client's deadline a response is still accepted
	timingMargin      = 50 * time.Millisecond  // added to every limit that is measured over sockets
)

// dialTimeout is how long clients and proxies wait for a connection to be established.
const dialTimeout = time.Second
