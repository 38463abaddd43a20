package load

import (
	"context"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// The gaps of a Poisson stream are exponential: their standard deviation is their mean.
func TestPoisson(t *testing.T) {
	const n, rate = 200_000, 250.0
	a, again := NewPoisson(seeded(), rate), NewPoisson(seeded(), rate)
	var last time.Duration
	sum, squares := 0.0, 0.0
	for range n {
		next := a.Next()
		if next != again.Next() {
			t.Fatal("one seed gave two streams")
		}
		gap := (next - last).Seconds() * rate
		sum, squares, last = sum+gap, squares+gap*gap, next
	}
	mean := sum / n
	if deviation := math.Sqrt(squares/n - mean*mean); math.Abs(mean-1) > 0.01 || math.Abs(deviation-1) > 0.02 {
		t.Errorf("mean gap %v and deviation %v times what was asked for", mean, deviation)
	}
}

func TestTenants(t *testing.T) {
	for exponent, want := range map[float64][3]float64{0: {1. / 3, 1. / 3, 1. / 3}, 1: {6. / 11, 3. / 11, 2. / 11}} {
		tenants, rng, got := NewTenantDistribution(3, exponent), seeded(), [3]float64{}
		for range 100_000 {
			got[tenants.Sample(rng)] += 1e-5
		}
		for i := range got {
			if math.Abs(got[i]-want[i]) > 0.01 {
				t.Errorf("exponent %v: tenant %d has %v of the load, want %v", exponent, i, got[i], want[i])
			}
		}
	}
}

// A stall makes the requests that fall due in it late, and moves or drops none: latency counts from the due time.
func TestStallCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stall, service = time.Second, 10 * time.Millisecond
		start := time.Now()
		want, expect := 0, NewPoisson(seeded(), 100)
		for expect.Next() < 4*time.Second {
			want++
		}
		var all LatencyHistogram
		calls, late := 0, 0
		RunOpenLoop(t.Context(), NewPoisson(seeded(), 100), start, 4*time.Second, 1000, func(due time.Time, n int, done func()) {
			if n != calls {
				t.Errorf("request %d came as number %d", n, calls)
			}
			if calls++; calls == 100 {
				time.Sleep(stall) // the process stands still
			}
			if time.Since(due) > 0 {
				late++
			}
			time.AfterFunc(service, func() { all.Record(time.Since(due)); done() })
		}, func(time.Time, int) { t.Error("dropped") })
		q := all.Quantiles(time.Millisecond)
		if calls != want || int(q.Count) != want {
			t.Errorf("%d requests and %d answers of %d", calls, q.Count, want)
		}
		if late < 60 || late > 140 || q.P50 < 9.9 || q.P50 > 10.2 || q.Max < 1000 || q.Max > 1030 || q.P90 < 300 {
			t.Errorf("%d late, latencies %+v", late, q)
		}
		if took := time.Since(start); took > 4*time.Second+service {
			t.Errorf("the load took %v", took)
		}
	})
}

// Above the bound, requests are dropped and told of, and no answer is waited for.
func TestDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var over []func()
		dropped, began := 0, time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		RunOpenLoop(ctx, NewPoisson(seeded(), 100), began, time.Second, 3, func(_ time.Time, _ int, done func()) {
			if over = append(over, done); len(over) == 3 {
				time.AfterFunc(500*time.Millisecond, over[0])
			}
		}, func(time.Time, int) { dropped++ })
		if len(over) != 4 || dropped < 50 {
			t.Errorf("%d begun and %d dropped, with three places of which one is free again", len(over), dropped)
		}
		if took := time.Since(began); took != time.Minute {
			t.Errorf("with requests out, it ended after %v and not with its context", took)
		}
	})
}
