package gateway

import "time"

// clock provides the event loop's and the engine's time: Unix time in seconds. It reads the system's clock once, at the
// start, and advances by the monotonic clock, so that a step of the system's clock moves no deadline. All gateways must
// compute the same beginning and end of a counter window (see the package comment), so the clock shows Unix time. Use
// newClock to make a clock; the zero value is not usable.
type clock struct {
	start     time.Time // time at which the clock was made, with a monotonic reading
	startUnix float64   // start in Unix seconds
}

// newClock returns a clock that starts at the current system time.
func newClock() clock {
	start := time.Now()
	return clock{start: start, startUnix: unixSeconds(start)}
}

// unixSeconds returns a time in Unix seconds.
func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

// now returns the current time in seconds.
func (c clock) now() float64 { return c.startUnix + time.Since(c.start).Seconds() }

// toTime converts a time of this clock, in seconds, to a time.Time for socket deadlines and Go timers.
func (c clock) toTime(t float64) time.Time {
	return c.start.Add(time.Duration((t - c.startUnix) * float64(time.Second)))
}

// toDuration converts a number of seconds, the unit of the settings and of the engine, to a time.Duration.
func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
