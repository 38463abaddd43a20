package counter

import "time"

// Fault describes how the counter misbehaves. The zero value is no fault.
type Fault struct {
	// Blackhole makes the counter read calls without adding anything or responding, as if the
	// network to it were cut. All connections to the counter are reset when the blackhole ends.
	Blackhole bool

	// Rejecting makes the counter respond to every call with 503.
	Rejecting bool

	// SlowFactor multiplies the service time of calls, including those already in service or waiting. 0 means 1.
	SlowFactor float64
}

// faultState is a fault together with the state of the service clock, on which the shards
// schedule calls. The service clock runs slower than real time by the factor SlowFactor, so that a change of the factor
// also applies to calls that are already scheduled.
type faultState struct {
	Fault
	faultStart          time.Duration // time from the creation of the counter to the call of SetFault
	serviceClockAtFault time.Duration // reading of the service clock at faultStart
}

// serviceClock returns the reading of the service clock. The parameter now is the time since the counter was created.
func (s *faultState) serviceClock(now time.Duration) time.Duration {
	return s.serviceClockAtFault + time.Duration(float64(now-s.faultStart)/s.SlowFactor)
}

// SetFault replaces the counter's current fault. If the replacement ends a blackhole, SetFault resets all connections.
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
		// A connection with a call that got no response stays muted until its reset here. Clients match responses
		// to calls by their order, so they would take the response to a later call for the missing response.
		c.listener.ResetConns()
	}
}
