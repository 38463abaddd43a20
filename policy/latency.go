package policy

const (
	latencyGain    = 0.15 // weight of the newest latency
	slowDeviations = 4.0  // an attempt is late this many mean deviations past the mean
)

// latencyStats is the mean latency of served attempts at all backends and its mean deviation, in seconds.
type latencyStats struct {
	mean      float64 // 0: no attempt has been served yet
	deviation float64
}

func (e *Engine) slowAfter() float64 { return e.latency.mean + slowDeviations*e.latency.deviation }

func (b *backend) recordLatency(took float64) {
	if b.latency == 0 {
		b.latency = took
	}
	b.latency += latencyGain * (took - b.latency)
}
