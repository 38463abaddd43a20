package real

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"amberlb/internal/lab/load"
)

const mostOut = 4096 // requests under way; further ones are dropped and counted

// Tenant is a customer of the gateways.
type Tenant struct {
	ID            uint64 // under 2^33
	Plan          string
	Spread, First int // its gateways are Spread in a row from First
}

// Load is what the gateways are asked for: open loop, Poisson arrivals, Zipf over
// the tenants, each request at one of its tenant's gateways.
type Load struct {
	Seed      uint64
	PerSecond float64 // over all gateways
	Tenants   []Tenant
	Zipf      float64       // exponent; the first tenant asks for the most
	Class     string        // GET is its method
	Patience  time.Duration // how long a client waits
	Service   time.Duration // of a backend, which is no part of the latency that the gateways add
}

// Result counts the requests that were due after the warm time.
type Result struct {
	Due, Served, Refused, Failed, Dropped uint64         // Due is the sum of the others
	Added                                 load.Quantiles // of the served, in ms, beyond the backend's service
	Late                                  load.Quantiles // of all, in ms: how late this process began them, a part of Added
}

// Drive sends the load for warm and run from start on, and returns when all is
// answered, or when ctx ends. The gateways are ranks 0 and up.
func (l *Load) Drive(ctx context.Context, gateways []*Gateway, start time.Time, warm, run time.Duration) Result {
	transport := &http.Transport{MaxIdleConnsPerHost: mostOut, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: l.Patience + time.Second}
	source := rand.NewPCG(l.Seed, 1)
	rng, tenants := rand.New(rand.NewPCG(l.Seed, 2)), load.NewTenants(len(l.Tenants), l.Zipf)
	var served, refused, failed, dropped atomic.Uint64
	var latency, late load.Latency
	count := func(due time.Time, counter *atomic.Uint64) {
		if due.Sub(start) >= warm {
			counter.Add(1)
		}
	}
	load.Drive(ctx, load.Poisson(rand.New(source), l.PerSecond), start, warm+run, mostOut, func(due time.Time, n int, done func()) {
		t := &l.Tenants[tenants.Pick(rng)]
		if due.Sub(start) >= warm {
			late.Record(time.Since(due))
		}
		here := min(t.Spread, len(gateways)-t.First) // of its set, those that are real
		request := l.request(gateways[t.First+rng.IntN(here)], t, due, rng.Uint64())
		go func() {
			defer done()
			status, err := send(client, request.WithContext(ctx))
			switch {
			case err == nil && status == http.StatusOK:
				count(due, &served)
				if due.Sub(start) >= warm {
					latency.Record(time.Since(due) - l.Service)
				}
			case err == nil && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable):
				count(due, &refused)
			default:
				count(due, &failed)
			}
		}()
	}, func(due time.Time, _ int) { count(due, &dropped) })
	r := Result{Served: served.Load(), Refused: refused.Load(), Failed: failed.Load(), Dropped: dropped.Load(),
		Added: latency.Quantiles(time.Millisecond), Late: late.Quantiles(time.Millisecond)}
	r.Due = r.Served + r.Refused + r.Failed + r.Dropped
	return r
}

// request is one as the front would send it.
func (l *Load) request(g *Gateway, t *Tenant, due time.Time, id uint64) *http.Request {
	r, err := http.NewRequest(http.MethodGet, "http://"+g.Address+"/"+l.Class, nil)
	if err != nil {
		panic(err) // the address is one that was listened at
	}
	r.Host = "origin.svc"
	for name, value := range map[string]string{
		"X-Correlation-Id": fmt.Sprintf("%016x", id),
		"X-Service-Class":  l.Class,
		"X-Tier":           t.Plan,
		"X-Api-Key":        fmt.Sprintf("%016x", t.ID),
		"X-Time-Left-Ms":   strconv.FormatInt(max(l.Patience-time.Since(due), time.Millisecond).Milliseconds(), 10),
		"X-Call-Terms":     fmt.Sprintf("units=1,spread=%d,first=%d", t.Spread, t.First),
		"User-Agent":       "", // none
	} {
		r.Header.Set(name, value)
	}
	return r
}

// send returns the status of the whole answer.
func send(client *http.Client, r *http.Request) (int, error) {
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
