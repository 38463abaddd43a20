package policy

import "math"

// Averages of latency.
const (
	overallLatencyGain = 0.02 // weight of the newest attempt in the mean over all backends
	backendLatencyGain = 0.15 // weight of the newest attempt in the mean of one backend
	slowDeviations     = 4.0  // an attempt is slow this many mean deviations past the mean
)

// latencyStats is the mean latency of served attempts at all backends and its mean deviation. The zero value
// is that of a gateway that has had no answer yet.
type latencyStats struct {
	mean      float64 // seconds; 0: no attempt has been served yet
	deviation float64 // seconds
}

// record takes in a served attempt that took so many seconds.
func (s *latencyStats) record(elapsed float64) {
	if s.mean == 0 {
		s.mean = elapsed
		s.deviation = elapsed / 2
	}
	s.deviation += overallLatencyGain * (math.Abs(elapsed-s.mean) - s.deviation)
	s.mean += overallLatencyGain * (elapsed - s.mean)
}

// slowThreshold returns the seconds after which an attempt takes longer than nearly all do.
func (s *latencyStats) slowThreshold() float64 { return s.mean + slowDeviations*s.deviation }

// recordLatency takes in an attempt at the backend that took so many seconds, or at least that long.
func (b *backend) recordLatency(elapsed float64) {
	if b.latency == 0 {
		b.latency = elapsed
	}
	b.latency += backendLatencyGain * (elapsed - b.latency)
}
