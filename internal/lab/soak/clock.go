package soak

import "time"

// Clock measures the time since the start of a run. It is monotonic; all records of a run use the same clock.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// At converts a time since the start to a time.Time, for timers and deadlines.
func (c Clock) At(sinceStart time.Duration) time.Time { return c.start.Add(sinceStart) }
