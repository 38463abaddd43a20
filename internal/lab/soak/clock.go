package soak

import "time"

// Clock tells the time since the start of a run. It is monotonic, and all records of a run share one.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now is the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// At converts a time since the start to a time.Time, for timers and deadlines.
func (c Clock) At(sinceStart time.Duration) time.Time { return c.start.Add(sinceStart) }
