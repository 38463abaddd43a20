package soak

import "time"

// Class is a class of requests in the settings of a gateway.
type Class struct {
	Name        string
	Idempotency Idempotency
	Deadline    time.Duration // time from the arrival of a request to its final answer
}

// Idempotency defines whether a request may be executed more than once. Its values are those of
// the setting "effect" of a class.
type Idempotency string

// The kinds of idempotency.
const (
	Idempotent      Idempotency = "repeatable"
	IdempotentByKey Idempotency = "by_key" // backends execute requests with the same idempotency key only once
	NonIdempotent   Idempotency = "once"
)

const (
	// KillDelay is the time that KillAfter adds to the longest deadline.
	KillDelay = 700 * time.Millisecond

	maxCountedDeadline = 3 * time.Second // upper limit of the deadline that KillAfter counts
)

// KillAfter returns the time from SIGTERM to the earliest SIGKILL. It is the sum of KillDelay and the longest deadline
// of the classes, which is limited to 3 s.
func KillAfter(classes []Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxCountedDeadline) + KillDelay
}
