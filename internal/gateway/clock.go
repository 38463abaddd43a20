package gateway

import "time"

// clock is the engine's time: Unix time in seconds, read once at the start and advanced by the monotonic
// clock, so that a step of the system's clock moves no deadline. All gateways must share its origin, since
// their lease windows are cut from it. The zero value is not usable; newClock makes a clock.
type clock struct {
	start     time.Time // with its monotonic reading
	startUnix float64   // the same moment in Unix seconds
}

// newClock returns a clock that starts now.
func newClock() clock {
	start := time.Now()
	return clock{start: start, startUnix: float64(start.UnixNano()) / 1e9}
}

// now returns the engine's time in seconds.
func (c clock) now() float64 { return c.startUnix + time.Since(c.start).Seconds() }

// toTime returns the moment t of the engine's time, for deadlines of sockets.
func (c clock) toTime(t float64) time.Time {
	return c.start.Add(time.Duration((t - c.startUnix) * float64(time.Second)))
}

// seconds converts a span as the settings and the decision module state it.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
