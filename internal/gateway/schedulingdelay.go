package gateway

import (
	runtimemetrics "runtime/metrics"
	"slices"
	"sync"
	"time"
)

// Parameters of schedulingDelay.
const (
	delayReadInterval  = 20 * time.Millisecond  // minimum time between two readings of the runtime's metric
	delayWindow        = 250 * time.Millisecond // time for which a delay counts as recent
	negligibleDelay    = 50 * time.Millisecond  // delays up to this are covered by the slack of the protocol
	schedulingLatency  = "/sched/latencies:seconds"
	delayWindowCount   = int(delayWindow / delayReadInterval)
	unboundedBucketTop = time.Second // counts in place of the end of the histogram's last bucket
)

// schedulingDelay tells for how long goroutines have recently waited for a processor. On a busy processor, a request waits in
// its socket until the goroutine that reads its connection gets its turn, and the system does not tell for how long. The
// methods are safe for concurrent use.
type schedulingDelay struct {
	mu      sync.Mutex
	sample  [1]runtimemetrics.Sample
	counts  []uint64 // the histogram's counts at the last reading
	readAt  time.Time
	windows [delayWindowCount]delayOfWindow // the last readings, in a ring
	next    int                             // index in windows of the next reading
}

// delayOfWindow is the longest delay between two readings.
type delayOfWindow struct {
	readAt  time.Time
	longest time.Duration
}

// newSchedulingDelay returns a schedulingDelay without readings.
func newSchedulingDelay() *schedulingDelay {
	d := &schedulingDelay{}
	d.sample[0].Name = schedulingLatency
	return d
}

// recent returns the longest recent delay; 0 if it is negligible.
func (d *schedulingDelay) recent(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.readAt) >= delayReadInterval {
		d.windows[d.next] = delayOfWindow{now, d.read()}
		d.next = (d.next + 1) % delayWindowCount
		d.readAt = now
	}
	longest := time.Duration(0)
	for _, window := range d.windows {
		if now.Sub(window.readAt) <= delayWindow {
			longest = max(longest, window.longest)
		}
	}
	if longest <= negligibleDelay {
		return 0
	}
	return longest
}

// read returns the longest delay since the last reading. The caller holds mu.
func (d *schedulingDelay) read() time.Duration {
	runtimemetrics.Read(d.sample[:])
	if d.sample[0].Value.Kind() != runtimemetrics.KindFloat64Histogram {
		return 0 // another version of the runtime may lack the metric
	}
	histogram := d.sample[0].Value.Float64Histogram()
	longest := longestNewDelay(histogram, d.counts)
	d.counts = append(d.counts[:0], histogram.Counts...)
	return longest
}

// longestNewDelay returns the upper end of the highest bucket whose count has grown.
func longestNewDelay(histogram *runtimemetrics.Float64Histogram, before []uint64) time.Duration {
	if len(before) != len(histogram.Counts) {
		return 0 // the first reading
	}
	for i, count := range slices.Backward(histogram.Counts) {
		if count == before[i] {
			continue
		}
		return min(toDuration(min(histogram.Buckets[i+1], unboundedBucketTop.Seconds())), unboundedBucketTop)
	}
	return 0
}
