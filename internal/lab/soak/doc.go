// Package soak plays seeded trouble on real gateways, each a process of its own, and checks what became of every
// request: signals in series, restarts, backends that hang, stalled processes, clients that keep using open connections
// until the kill, write slowly, leave, or crowd the descriptors, and a proxy before each gateway that delays and
// splits bytes.
//
// Clients and backends each keep a record with times of one monotonic clock. Check joins the records and names each
// request that was lost, answered late, run twice, sent with too much time, or sent after its client had left. The
// rules are those of the protocol page; what they excuse is counted apart.
package soak

import "time"

// Clock tells the time since the start of a run. All records of a run share one.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now is the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// At is a moment of the clock as the time package has it, for timers and deadlines.
func (c Clock) At(moment time.Duration) time.Time { return c.start.Add(moment) }

// The protocol's headers that the stand-ins read or write.
const (
	idHeader     = "X-Correlation-Id"
	timeHeader   = "X-Time-Left-Ms"
	classHeader  = "X-Service-Class"
	planHeader   = "X-Tier"
	clientHeader = "X-Api-Key"
	keyHeader    = "Idempotency-Key"
	termsHeader  = "X-Call-Terms"
)
