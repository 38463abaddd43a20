package soak

import "time"

// The protocol's headers that the stand-ins read or write.
const (
	idHeader      = "X-Correlation-Id"
	timeoutHeader = "X-Time-Left-Ms" // milliseconds that the sender waits for the answer
	classHeader   = "X-Service-Class"
	planHeader    = "X-Tier"
	clientHeader  = "X-Api-Key"
	keyHeader     = "Idempotency-Key"
	termsHeader   = "X-Call-Terms"
)

// Limits of time that both the clients and Check go by.
const (
	lateResponseLimit = 500 * time.Millisecond // an answer so long after the client's deadline still counts as one
	timingMargin      = 50 * time.Millisecond  // measured over sockets, every limit is so much longer
)

// dialTimeout is how long clients and proxies wait for a connection.
const dialTimeout = time.Second
