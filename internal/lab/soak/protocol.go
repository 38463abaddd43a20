package soak

import "time"

// Header fields of the protocol that the clients or backends of the soak read or write.
const (
	idHeader      = "X-Correlation-Id"
	timeoutHeader = "X-Time-Left-Ms" // time in milliseconds for which the sender waits for the response
	classHeader   = "X-Service-Class"
	planHeader    = "X-Tier"
	clientHeader  = "X-Api-Key"
	keyHeader     = "Idempotency-Key"
	termsHeader   = "X-Call-Terms"
)

// Time limits that both the clients and Check use.
const (
	lateResponseLimit = 500 * time.Millisecond // longest time after the client's deadline at which a response is accepted
	timingMargin      = 50 * time.Millisecond  // tolerance that is added to limits that are measured over sockets
)

// dialTimeout is the longest time that clients and proxies wait for a connection to be established.
const dialTimeout = time.Second
