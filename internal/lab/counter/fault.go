package counter

import "time"

// Fault is how the counter fails. The zero value is no fault.
type Fault struct {
	// Blackhole: the counter reads calls, adds nothing and answers nothing, as if it
	// were cut off. Its connections are reset when the blackhole ends.
	Blackhole bool

	// Rejecting: the counter answers every call with 503.
	Rejecting bool

	// SlowFactor is by how much turns take longer, also those under way; 0: 1.
	SlowFactor float64
}

// faultState is a fault with the service clock, by which the shards' turns go. The
// clock runs slower than time by the fault's factor.
type faultState struct {
	Fault
	faultStart          time.Duration // since the counter's start
	serviceClockAtFault time.Duration // what the service clock showed at faultStart
}

// serviceClock returns what the service clock shows at a time since the counter's start.
func (s *faultState) serviceClock(now time.Duration) time.Duration {
	return s.serviceClockAtFault + time.Duration(float64(now-s.faultStart)/s.SlowFactor)
}

// SetFault replaces the counter's fault.
func (c *Counter) SetFault(fault Fault) {
	c.faultMu.Lock()
	defer c.faultMu.Unlock()
	if fault.SlowFactor <= 0 {
		fault.SlowFactor = 1
	}
	now := c.now()
	previous := c.currentFault.Load()
	c.currentFault.Store(&faultState{Fault: fault, faultStart: now, serviceClockAtFault: previous.serviceClock(now)})
	if previous.Blackhole && !fault.Blackhole {
		// A connection that left a call unanswered stays muted until then, so that no
		// later call gets that call's response.
		c.listener.ResetConns()
	}
}
