package policy

// Estimates are the measured values by which an engine rejects, demotes or delays requests, for the log. They
// tell apart rejections that have the same Reason.
type Estimates struct {
	MeanLatency      float64 // seconds; mean latency of served attempts; 0: none was served yet
	ConcurrencyLimit float64 // attempts
	InFlight         int     // attempts that count towards the limit, including abandoned ones
	PresumedLate     uint64  // requests since the start whose objective had presumably passed at their arrival
}

// Estimates returns the current estimates.
func (e *Engine) Estimates() Estimates {
	return Estimates{
		MeanLatency:      e.latency.mean,
		ConcurrencyLimit: e.limiter.limit,
		InFlight:         e.limiter.inFlight,
		PresumedLate:     e.presumedLate,
	}
}
