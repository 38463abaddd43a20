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

// maxInFlight is the most requests in flight; further ones are dropped and counted.
const maxInFlight = 4096

// Tenant is a customer of the gateways.
type Tenant struct {
	ID           uint64 // under 2^33
	Plan         string
	SubsetSize   int // number of its gateways, whose ranks are consecutive
	FirstGateway int // rank of the first of them
}

// Load is an open-loop load on the gateways: Poisson arrivals, Zipf over the tenants,
// each request to one of its tenant's gateways.
type Load struct {
	Seed              uint64
	RequestsPerSecond float64 // over all gateways
	Tenants           []Tenant
	ZipfExponent      float64 // of the tenants' rates; the first tenant has the highest
	Class             string  // requests of it are sent with GET
	ClientTimeout     time.Duration
	ServiceTime       time.Duration // of the backends, which is no part of the latency that the gateways add
}

// Result counts the requests that were due after the warm-up:
// Scheduled = Served + Rejected + Failed + Dropped.
type Result struct {
	Scheduled    uint64
	Served       uint64         // answered 200
	Rejected     uint64         // answered 429 or 503
	Failed       uint64         // answered otherwise, or not at all
	Dropped      uint64         // not sent, since too many were in flight
	AddedLatency load.Quantiles // of the served, ms: latency beyond the backends' service time
	ScheduleLag  load.Quantiles // of all, ms: how late this process sent them, a part of AddedLatency
}

// loadRun is a load that runs.
type loadRun struct {
	*Load
	gateways     []*Gateway // by rank
	client       *http.Client
	rng          *rand.Rand // of all that is drawn for a request
	popularity   *load.TenantDistribution
	measuredFrom time.Time // requests that are due from here on count

	served       atomic.Uint64
	rejected     atomic.Uint64
	failed       atomic.Uint64
	dropped      atomic.Uint64
	addedLatency load.LatencyHistogram
	scheduleLag  load.LatencyHistogram
}

// Run sends the load from start on, for the warm-up and then for the time that is measured. It returns when all
// requests are answered, or when ctx ends. The gateways have the ranks 0 and up.
func (l *Load) Run(ctx context.Context, gateways []*Gateway, start time.Time, warmup, measured time.Duration) Result {
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &loadRun{
		Load:         l,
		gateways:     gateways,
		client:       &http.Client{Transport: transport, Timeout: l.ClientTimeout + time.Second},
		rng:          rand.New(rand.NewPCG(l.Seed, 2)),
		popularity:   load.NewTenantDistribution(len(l.Tenants), l.ZipfExponent),
		measuredFrom: start.Add(warmup),
	}
	arrivals := load.NewPoisson(rand.New(rand.NewPCG(l.Seed, 1)), l.RequestsPerSecond)
	issue := func(due time.Time, _ int, done func()) { r.issue(ctx, due, done) }
	dropped := func(due time.Time, _ int) { r.count(due, &r.dropped) }
	load.RunOpenLoop(ctx, arrivals, start, warmup+measured, maxInFlight, issue, dropped)
	return r.result()
}

// isMeasured tells whether a request that is due at a time counts.
func (r *loadRun) isMeasured(due time.Time) bool { return !due.Before(r.measuredFrom) }

// count adds a request to a counter, if it counts.
func (r *loadRun) count(due time.Time, counter *atomic.Uint64) {
	if r.isMeasured(due) {
		counter.Add(1)
	}
}

// issue draws the request that is due and sends it on a goroutine of its own, which calls done at its end.
func (r *loadRun) issue(ctx context.Context, due time.Time, done func()) {
	tenant := &r.Tenants[r.popularity.Sample(r.rng)]
	if r.isMeasured(due) {
		r.scheduleLag.Record(time.Since(due))
	}
	runningGateways := min(tenant.SubsetSize, len(r.gateways)-tenant.FirstGateway) // of its subset
	target := r.gateways[tenant.FirstGateway+r.rng.IntN(runningGateways)]
	request := r.newRequest(target, tenant, due, r.rng.Uint64())
	go func() {
		defer done()
		r.send(request.WithContext(ctx), due)
	}()
}

// send sends a request and counts what came of it.
func (r *loadRun) send(request *http.Request, due time.Time) {
	status, err := doRequest(r.client, request)
	switch {
	case err != nil:
		r.count(due, &r.failed)
	case status == http.StatusOK:
		r.count(due, &r.served)
		if r.isMeasured(due) {
			r.addedLatency.Record(time.Since(due) - r.ServiceTime)
		}
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		r.count(due, &r.rejected)
	default:
		r.count(due, &r.failed)
	}
}

// result returns the counts.
func (r *loadRun) result() Result {
	result := Result{
		Served:       r.served.Load(),
		Rejected:     r.rejected.Load(),
		Failed:       r.failed.Load(),
		Dropped:      r.dropped.Load(),
		AddedLatency: r.addedLatency.Quantiles(time.Millisecond),
		ScheduleLag:  r.scheduleLag.Quantiles(time.Millisecond),
	}
	result.Scheduled = result.Served + result.Rejected + result.Failed + result.Dropped
	return result
}

// newRequest returns a request as the front end would send it.
func (l *Load) newRequest(gateway *Gateway, tenant *Tenant, due time.Time, id uint64) *http.Request {
	request, err := http.NewRequest(http.MethodGet, "http://"+gateway.Address+"/"+l.Class, nil)
	if err != nil {
		panic(err) // the address is one that the gateway listens at
	}
	remaining := max(l.ClientTimeout-time.Since(due), time.Millisecond)
	request.Host = "origin.svc"
	for name, value := range map[string]string{
		"X-Correlation-Id": fmt.Sprintf("%016x", id),
		"X-Service-Class":  l.Class,
		"X-Tier":           tenant.Plan,
		"X-Api-Key":        fmt.Sprintf("%016x", tenant.ID),
		"X-Time-Left-Ms":   strconv.FormatInt(remaining.Milliseconds(), 10),
		"X-Call-Terms":     fmt.Sprintf("units=1,spread=%d,first=%d", tenant.SubsetSize, tenant.FirstGateway),
		"User-Agent":       "", // none is sent
	} {
		request.Header.Set(name, value)
	}
	return request
}

// doRequest sends a request and returns the status of the complete answer.
func doRequest(client *http.Client, request *http.Request) (status int, err error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
