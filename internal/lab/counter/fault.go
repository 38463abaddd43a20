package counter

import "time"

// Fault describes how the counter misbehaves. The zero value is no fault.
type Fault struct {
	// Blackhole makes the counter read calls without adding anything or responding, as if the
	// network to it were cut. Its connections are reset when the blackhole ends.
	Blackhole bool

	// Rejecting makes the counter respond to every call with 503.
	Rejecting bool

	// SlowFactor multiplies the service time, also of calls already in service or waiting. 0 means 1.
	SlowFactor float64
}

// faultState is a fault together with the state of the service clock, on which the shards
// schedule calls. The service clock runs slower than real time by the fault's SlowFactor,
// so that a change of the factor also applies to calls that are already scheduled.
type faultState struct {
	Fault
	faultStart          time.Duration // time of SetFault since the creation of the counter
	serviceClockAtFault time.Duration // reading of the service clock at faultStart
}

// serviceClock returns the reading of the service clock at now, a time since the creation of the counter.
func (s *faultState) serviceClock(now time.Duration) time.Duration {
	return s.serviceClockAtFault + time.Duration(float64(now-s.faultStart)/s.SlowFactor)
}

// SetFault replaces the counter's current fault.
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
		// Until this reset, a connection with an unanswered call stays muted: responses are
		// matched to calls by their order, so a response to a later call would be taken for
		// the response to the unanswered one.
		c.listener.ResetConns()
	}
}
