package soak

import "time"

// Class is one class of requests in a gateway's settings.
type Class struct {
	Name        string
	Idempotency Idempotency
	Deadline    time.Duration // from a request's arrival to its final answer
}

// Idempotency says how often a request may be executed. Its values are the words of the settings.
type Idempotency string

// The kinds of idempotency.
const (
	Idempotent      Idempotency = "repeatable"
	IdempotentByKey Idempotency = "by_key" // the backends execute a request with the same key once
	NonIdempotent   Idempotency = "once"
)

const (
	// KillDelay is the time from the longest deadline after SIGTERM to the earliest SIGKILL.
	KillDelay = 700 * time.Millisecond

	maxCountedDeadline = 3 * time.Second // a longer deadline counts as this for the earliest SIGKILL
)

// KillAfter is the time from SIGTERM to the earliest SIGKILL.
func KillAfter(classes []Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxCountedDeadline) + KillDelay
}
