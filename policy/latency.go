package policy

import "math"

// Parameters of the latency averages.
const (
	overallLatencyGain = 0.02 // weight of the newest attempt in the mean over all backends
	backendLatencyGain = 0.15 // weight of the newest attempt in the mean of one backend
	slowDeviations     = 4.0  // distance from the mean latency to slowThreshold, in mean deviations
)

// latencyStats holds the mean latency of served attempts at all backends, and the mean deviation from that
// mean. The two values are exponential moving averages. The zero value has no samples.
type latencyStats struct {
	mean      float64 // seconds; 0: no attempt has been served yet
	deviation float64 // seconds
}

// record adds the latency of a served attempt, in seconds.
func (s *latencyStats) record(latency float64) {
	if s.mean == 0 {
		s.mean = latency
		s.deviation = latency / 2
	}
	s.deviation += overallLatencyGain * (math.Abs(latency-s.mean) - s.deviation)
	s.mean += overallLatencyGain * (latency - s.mean)
}

// slowThreshold returns the number of seconds after which an attempt has taken longer than almost all others.
func (s *latencyStats) slowThreshold() float64 { return s.mean + slowDeviations*s.deviation }

// recordLatency adds the latency of an attempt at the backend, in seconds. For an attempt that was not
// served, elapsed is a lower bound of the latency.
func (b *backend) recordLatency(elapsed float64) {
	if b.latency == 0 {
		b.latency = elapsed
	}
	b.latency += backendLatencyGain * (elapsed - b.latency)
}
