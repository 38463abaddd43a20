package load

import (
	"context"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// seeded returns a random number generator that always has the same seed.
func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// The gaps of a Poisson process are exponential: their standard deviation equals their mean.
func TestPoissonGapsAreExponential(t *testing.T) {
	const n, rate = 200_000, 250.0
	arrivals := NewPoisson(seeded(), rate)
	same := NewPoisson(seeded(), rate)
	var last time.Duration
	sum := 0.0
	squares := 0.0
	for range n {
		next := arrivals.Next()
		if next != same.Next() {
			t.Fatal("two processes with the same seed differ")
		}
		gap := (next - last).Seconds() * rate
		sum += gap
		squares += gap * gap
		last = next
	}
	mean := sum / n
	deviation := math.Sqrt(squares/n - mean*mean)
	if math.Abs(mean-1) > 0.01 || math.Abs(deviation-1) > 0.02 {
		t.Errorf("gaps with mean %v and standard deviation %v times the expected gap", mean, deviation)
	}
}

// Tenants are drawn with the shares of the Zipf distribution.
func TestTenantShares(t *testing.T) {
	for exponent, want := range map[float64][3]float64{
		0: {1. / 3, 1. / 3, 1. / 3},
		1: {6. / 11, 3. / 11, 2. / 11},
	} {
		tenants := NewTenantDistribution(3, exponent)
		rng := seeded()
		var got [3]float64
		for range 100_000 {
			got[tenants.Sample(rng)] += 1e-5
		}
		for i := range got {
			if math.Abs(got[i]-want[i]) > 0.01 {
				t.Errorf("exponent %v: tenant %d has a share of %v, want %v", exponent, i, got[i], want[i])
			}
		}
	}
}

// When the process stalls, the requests that are due during the stall are sent late, and none is rescheduled or dropped.
// The delay counts as latency, because latency is measured from the due time.
func TestStallCountsAsLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stall, serviceTime = time.Second, 10 * time.Millisecond
		start := time.Now()
		want := 0
		for expected := NewPoisson(seeded(), 100); expected.Next() < 4*time.Second; {
			want++
		}
		var latencies LatencyHistogram
		calls := 0
		late := 0
		issue := func(due time.Time, n int, done func()) {
			if n != calls {
				t.Errorf("issue was called with n = %d, want %d", n, calls)
			}
			calls++
			if calls == 100 {
				time.Sleep(stall)
			}
			if time.Since(due) > 0 {
				late++
			}
			time.AfterFunc(serviceTime, func() {
				latencies.Record(time.Since(due))
				done()
			})
		}
		dropped := func(time.Time, int) { t.Error("dropped") }
		RunOpenLoop(t.Context(), NewPoisson(seeded(), 100), start, 4*time.Second, 1000, issue, dropped)
		q := latencies.Quantiles(time.Millisecond)
		if calls != want || int(q.Count) != want {
			t.Errorf("%d requests and %d answers, want %d", calls, q.Count, want)
		}
		if late < 60 || late > 140 || q.P50 < 9.9 || q.P50 > 10.2 || q.Max < 1000 || q.Max > 1030 || q.P90 < 300 {
			t.Errorf("%d late, latencies %+v", late, q)
		}
		if took := time.Since(start); took > 4*time.Second+serviceTime {
			t.Errorf("the load took %v", took)
		}
	})
}

// While the limit of requests in flight is reached, a further request is dropped at once and reported. It does not wait
// until another request ends.
func TestRequestsAboveTheLimitAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var doneFuncs []func() // done functions of the issued requests
		droppedCount := 0
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		issue := func(_ time.Time, _ int, done func()) {
			doneFuncs = append(doneFuncs, done)
			if len(doneFuncs) == 3 {
				time.AfterFunc(500*time.Millisecond, doneFuncs[0])
			}
		}
		dropped := func(time.Time, int) { droppedCount++ }
		RunOpenLoop(ctx, NewPoisson(seeded(), 100), start, time.Second, 3, issue, dropped)
		if len(doneFuncs) != 4 || droppedCount < 50 {
			t.Errorf("%d issued and %d dropped, with a limit of 3 and one request that ended", len(doneFuncs), droppedCount)
		}
		if took := time.Since(start); took != time.Minute {
			t.Errorf("with requests in flight, RunOpenLoop returned after %v, not at the end of its context", took)
		}
	})
}
