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

// maxInFlight is the maximum number of requests in flight. While that many requests are in flight, further requests
// are dropped and counted.
const maxInFlight = 4096

// Tenant is a customer of the gateways.
type Tenant struct {
	ID           uint64 // customer id, below 2^33
	Plan         string
	SubsetSize   int // number of the tenant's gateways, whose ranks are consecutive
	FirstGateway int // rank of the tenant's first gateway
}

// Load is an open-loop load on the gateways. Requests arrive as a Poisson process and are
// distributed over the tenants by a Zipf distribution. Each request is sent to a random gateway
// of its tenant's subset.
type Load struct {
	Seed              uint64
	RequestsPerSecond float64 // total rate over all gateways
	Tenants           []Tenant
	ZipfExponent      float64 // exponent of the distribution over Tenants; the first tenant has the highest rate
	Class             string  // class of all requests, which are sent with GET
	ClientTimeout     time.Duration
	ServiceTime       time.Duration // service time of the backends, which is not part of Result.AddedLatency
}

// Result counts the requests that were due after the warm-up:
// Scheduled = Served + Rejected + Failed + Dropped.
type Result struct {
	Scheduled    uint64
	Served       uint64         // requests answered 200
	Rejected     uint64         // requests answered 429 or 503
	Failed       uint64         // requests answered with another status, or not answered
	Dropped      uint64         // requests not sent because too many requests were in flight
	AddedLatency load.Quantiles // latency of served requests minus ServiceTime, ms
	ScheduleLag  load.Quantiles // time from the due time of a request until it was sent, ms; part of AddedLatency
}

// loadRun is the state of a running load.
type loadRun struct {
	*Load
	gateways     []*Gateway // in order of rank
	client       *http.Client
	rng          *rand.Rand // draws the tenant, the gateway and the id of each request
	popularity   *load.TenantDistribution
	measuredFrom time.Time // end of the warm-up; requests that are due earlier are not counted

	served       atomic.Uint64
	rejected     atomic.Uint64
	failed       atomic.Uint64
	dropped      atomic.Uint64
	addedLatency load.LatencyHistogram
	scheduleLag  load.LatencyHistogram
}

// Run sends the load, from start to start + warmup + measured. It counts only the requests that are due after the
// warm-up. It returns when all requests have ended or ctx ends. The rank of a gateway is its index in
// gateways.
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

// isMeasured reports whether a request with this due time is counted.
func (r *loadRun) isMeasured(due time.Time) bool { return !due.Before(r.measuredFrom) }

// count increments a counter if the request is due after the warm-up.
func (r *loadRun) count(due time.Time, counter *atomic.Uint64) {
	if r.isMeasured(due) {
		counter.Add(1)
	}
}

// issue draws the tenant and the gateway of a request, and sends the request in a new goroutine.
// The goroutine calls done when the request has ended.
func (r *loadRun) issue(ctx context.Context, due time.Time, done func()) {
	tenant := &r.Tenants[r.popularity.Sample(r.rng)]
	if r.isMeasured(due) {
		r.scheduleLag.Record(time.Since(due))
	}
	// runningGateways is the number of the subset's gateways that are started.
	runningGateways := min(tenant.SubsetSize, len(r.gateways)-tenant.FirstGateway)
	target := r.gateways[tenant.FirstGateway+r.rng.IntN(runningGateways)]
	request := r.newRequest(target, tenant, due, r.rng.Uint64())
	go func() {
		defer done()
		r.send(request.WithContext(ctx), due)
	}()
}

// send sends a request and counts its outcome.
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

// result returns the counts and the quantiles.
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

// newRequest returns a request with the headers that the proxy in front of the gateways sends in a deployment.
func (l *Load) newRequest(gateway *Gateway, tenant *Tenant, due time.Time, id uint64) *http.Request {
	request, err := http.NewRequest(http.MethodGet, "http://"+gateway.Address+"/"+l.Class, nil)
	if err != nil {
		panic(err) // the gateway listens on the address, so the URL is valid
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
		"User-Agent":       "", // prevents the default User-Agent of Go
	} {
		request.Header.Set(name, value)
	}
	return request
}

// doRequest sends a request, reads the whole response and returns its status.
func doRequest(client *http.Client, request *http.Request) (status int, err error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
