package soak

import "time"

// Class is a class of requests in the settings of a gateway.
type Class struct {
	Name        string
	Idempotency Idempotency
	Deadline    time.Duration // from the arrival of a request to its final response
}

// Idempotency defines whether a request may be executed more than once. Its values are those of the settings.
type Idempotency string

// The kinds of idempotency.
const (
	Idempotent      Idempotency = "repeatable"
	IdempotentByKey Idempotency = "by_key" // backends execute requests with the same idempotency key only once
	NonIdempotent   Idempotency = "once"
)

const (
	// KillDelay is the part of the time from SIGTERM to the earliest SIGKILL that comes on top of the longest deadline.
	// See KillAfter.
	KillDelay = 700 * time.Millisecond

	maxCountedDeadline = 3 * time.Second // KillAfter counts a longer deadline as this
)

// KillAfter returns the time from SIGTERM to the earliest SIGKILL: the longest deadline of the classes, of which
// at most 3 s count, plus KillDelay.
func KillAfter(classes []Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxCountedDeadline) + KillDelay
}
