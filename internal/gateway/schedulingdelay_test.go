package gateway

import (
	"math"
	"runtime"
	runtimemetrics "runtime/metrics"
	"sync"
	"testing"
	"time"
)

// The longest new delay is the upper end of the highest bucket that has grown, whatever the buckets held before.
func TestLongestNewDelay(t *testing.T) {
	buckets := []float64{math.Inf(-1), 0, 0.01, 0.1, 0.3, math.Inf(1)}
	for _, c := range []struct {
		name          string
		before, after []uint64
		want          time.Duration
	}{
		{"the first reading", nil, []uint64{0, 9, 9, 9, 9}, 0},
		{"nothing new", []uint64{0, 9, 9, 9, 9}, []uint64{0, 9, 9, 9, 9}, 0},
		{"short delays alone", []uint64{0, 1, 0, 5, 5}, []uint64{0, 8, 0, 5, 5}, 10 * time.Millisecond},
		{"a long one among them", []uint64{0, 1, 0, 5, 5}, []uint64{0, 8, 0, 6, 5}, 300 * time.Millisecond},
		{"the last bucket", []uint64{0, 1, 0, 5, 5}, []uint64{0, 8, 0, 6, 6}, unboundedBucketTop},
	} {
		t.Run(c.name, func(t *testing.T) {
			histogram := &runtimemetrics.Float64Histogram{Counts: c.after, Buckets: buckets}
			if got := longestNewDelay(histogram, c.before); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// A delay counts for delayWindow, and a negligible one does not count.
func TestDelaysAreForgotten(t *testing.T) {
	d := newSchedulingDelay()
	now := time.Now()
	d.readAt = now // so that nothing is read
	d.windows[0] = delayOfWindow{now, 4 * negligibleDelay}
	d.windows[1] = delayOfWindow{now, 2 * negligibleDelay}
	if got := d.recent(now); got != 4*negligibleDelay {
		t.Errorf("recent delay %v", got)
	}
	d.windows[0].longest = negligibleDelay
	d.windows[1].longest = negligibleDelay
	if got := d.recent(now); got != 0 {
		t.Errorf("a negligible delay counts as %v", got)
	}
	d.windows[0].longest = 4 * negligibleDelay
	for i := range d.windows {
		d.windows[i].readAt = now.Add(-delayWindow - time.Millisecond)
	}
	if got := d.recent(now); got != 0 {
		t.Errorf("a delay counts as %v after delayWindow", got)
	}
}

// While far more goroutines are runnable than there are processors, the delay is seen. The Go runtime measures one in eight
// goroutines, so many of them wait.
func TestDelayOfBusyProcessorIsSeen(t *testing.T) {
	const (
		goroutines = 400
		work       = 2 * time.Millisecond
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	d := newSchedulingDelay()
	d.recent(time.Now())
	var busy sync.WaitGroup
	for range goroutines {
		busy.Go(func() {
			for end := time.Now().Add(work); time.Now().Before(end); {
			}
		})
	}
	busy.Wait()
	if got := d.recent(time.Now().Add(delayReadInterval)); got < 2*negligibleDelay {
		t.Errorf("the recent delay is %v", got)
	}
}

// delayOfIdleProcessor returns a schedulingDelay that reads nothing, for tests of other delays. On a busy machine, the
// goroutines of the tests wait for a processor.
func delayOfIdleProcessor() *schedulingDelay {
	return &schedulingDelay{readAt: time.Now().Add(time.Hour)}
}
