package gatewayprocess

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

const maxInFlight = 4096 // requests under way; further ones are dropped and counted

// Tenant is a customer of the gateways.
type Tenant struct {
	ID                       uint64 // under 2^33
	Plan                     string
	SubsetSize, FirstGateway int // its gateways are Spread in a row from First
}

// Load is what the gateways are asked for: open loop, Poisson arrivals, Zipf over
// the tenants, each request at one of its tenant's gateways.
type Load struct {
	Seed              uint64
	RequestsPerSecond float64 // over all gateways
	Tenants           []Tenant
	ZipfExponent      float64       // exponent; the first tenant asks for the most
	Class             string        // GET is its method
	ClientTimeout     time.Duration // how long a client waits
	ServiceTime       time.Duration // of a backend, which is no part of the latency that the gateways add
}

// Result counts the requests that were due after the warm time.
type Result struct {
	Scheduled, Served, Rejected, Failed, Dropped uint64         // Due is the sum of the others
	AddedLatency                                 load.Quantiles // of the served, in ms, beyond the backend's service
	ScheduleLag                                  load.Quantiles // of all, in ms: how late this process began them, a part of Added
}

// Run sends the load for warm and run from start on, and returns when all is
// answered, or when ctx ends. The gateways are ranks 0 and up.
func (l *Load) Run(ctx context.Context, gateways []*Gateway, start time.Time, warmup, measured time.Duration) Result {
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: l.ClientTimeout + time.Second}
	source := rand.NewPCG(l.Seed, 1)
	rng, tenants := rand.New(rand.NewPCG(l.Seed, 2)), load.NewTenantDistribution(len(l.Tenants), l.ZipfExponent)
	var served, rejected, failed, dropped atomic.Uint64
	var addedLatency, scheduleLag load.LatencyHistogram
	count := func(due time.Time, counter *atomic.Uint64) {
		if due.Sub(start) >= warmup {
			counter.Add(1)
		}
	}
	load.RunOpenLoop(ctx, load.NewPoisson(rand.New(source), l.RequestsPerSecond), start, warmup+measured, maxInFlight, func(due time.Time, n int, done func()) {
		tenant := &l.Tenants[tenants.Sample(rng)]
		if due.Sub(start) >= warmup {
			scheduleLag.Record(time.Since(due))
		}
		localGateways := min(tenant.SubsetSize, len(gateways)-tenant.FirstGateway) // of its set, those that are real
		request := l.newRequest(gateways[tenant.FirstGateway+rng.IntN(localGateways)], tenant, due, rng.Uint64())
		go func() {
			defer done()
			status, err := doRequest(client, request.WithContext(ctx))
			switch {
			case err == nil && status == http.StatusOK:
				count(due, &served)
				if due.Sub(start) >= warmup {
					addedLatency.Record(time.Since(due) - l.ServiceTime)
				}
			case err == nil && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable):
				count(due, &rejected)
			default:
				count(due, &failed)
			}
		}()
	}, func(due time.Time, _ int) { count(due, &dropped) })
	result := Result{Served: served.Load(), Rejected: rejected.Load(), Failed: failed.Load(), Dropped: dropped.Load(),
		AddedLatency: addedLatency.Quantiles(time.Millisecond), ScheduleLag: scheduleLag.Quantiles(time.Millisecond)}
	result.Scheduled = result.Served + result.Rejected + result.Failed + result.Dropped
	return result
}

// newRequest is one as the front would send it.
func (l *Load) newRequest(gateway *Gateway, tenant *Tenant, due time.Time, id uint64) *http.Request {
	r, err := http.NewRequest(http.MethodGet, "http://"+gateway.Address+"/"+l.Class, nil)
	if err != nil {
		panic(err) // the address is one that was listened at
	}
	r.Host = "origin.svc"
	for name, value := range map[string]string{
		"X-Correlation-Id": fmt.Sprintf("%016x", id),
		"X-Service-Class":  l.Class,
		"X-Tier":           tenant.Plan,
		"X-Api-Key":        fmt.Sprintf("%016x", tenant.ID),
		"X-Time-Left-Ms":   strconv.FormatInt(max(l.ClientTimeout-time.Since(due), time.Millisecond).Milliseconds(), 10),
		"X-Call-Terms":     fmt.Sprintf("units=1,spread=%d,first=%d", tenant.SubsetSize, tenant.FirstGateway),
		"User-Agent":       "", // none
	} {
		r.Header.Set(name, value)
	}
	return r
}

// doRequest returns the status of the whole answer.
func doRequest(client *http.Client, r *http.Request) (int, error) {
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
