package experiment

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"amberlb/internal/lab/gatewayprocess"
	"amberlb/internal/lab/proc"
)

const (
	requestClass  = "lookup" // name of the only class in the settings
	clientTimeout = 2 * time.Second
	settleTime    = time.Second // time from the gateways' readiness to the idle measurement
)

// measureProcesses measures the gateway processes during their start, then without requests, and then under load.
func (p *phase) measureProcesses(ctx context.Context) (err error) {
	listBytes, err := p.standins.listBytes(ctx)
	if err != nil {
		return err
	}
	p.run.Metrics["list_bytes"] = float64(listBytes)
	gateways, err := p.startProcesses(ctx)
	defer func() {
		for _, g := range gateways {
			err = errors.Join(err, g.Stop())
		}
	}()
	if err != nil {
		return err
	}
	if ready, err := p.awaitReady(ctx, gateways); err != nil || !ready {
		return err
	}
	defer p.standins.startChurn(ctx, p.experiment.Churn.ReplacementsPerSecond)()
	if err := p.measureIdle(ctx, gateways); err != nil {
		return err
	}
	return p.measureLoad(ctx, gateways)
}

// startProcesses starts the gateway processes. If a process fails to start, startProcesses returns the error together
// with the gateways that were already started.
func (p *phase) startProcesses(ctx context.Context) ([]*gatewayprocess.Gateway, error) {
	fleet := &p.experiment.Fleet
	p.log.Info("starting gateways", "gateways", fleet.GatewayProcesses, "backends", p.experiment.Backends.Count)
	var gateways []*gatewayprocess.Gateway
	for rank := range fleet.GatewayProcesses {
		settings, err := p.experiment.settings(rank)
		if err != nil {
			return gateways, err
		}
		g, err := gatewayprocess.Start(ctx, p.version.Gateway, gatewayprocess.Options{
			Name:      fmt.Sprintf("g-%05d", rank),
			Discovery: p.standins.discoveryAddress,
			Counter:   p.standins.counterAddress,
			Seed:      p.experiment.Seed + uint64(rank),
			Cores:     fleet.Cores,
			MemoryMB:  fleet.MemoryMB,
			Settings:  settings,
		})
		if err != nil {
			return gateways, err
		}
		gateways = append(gateways, g)
	}
	return gateways, nil
}

// awaitReady waits until all gateways are ready. A gateway that is not ready in time is counted in the metric
// never_ready and causes no error. In that case, ready is false, and the other measurements are impossible.
func (p *phase) awaitReady(ctx context.Context, gateways []*gatewayprocess.Gateway) (ready bool, err error) {
	neverReady := 0
	slowest := time.Duration(0)
	for _, g := range gateways {
		took, err := g.WaitReady(ctx, seconds(p.experiment.Fleet.ReadyTimeoutS))
		switch {
		case errors.Is(err, gatewayprocess.ErrReadyTimeout):
			neverReady++
		case err != nil:
			return false, err
		}
		slowest = max(slowest, took)
	}
	p.run.Metrics["never_ready"] = float64(neverReady)
	if neverReady == 0 {
		p.run.Metrics["ready_s"] = slowest.Seconds()
	}
	return neverReady == 0, nil
}

// measureIdle measures the gateways without requests.
func (p *phase) measureIdle(ctx context.Context, gateways []*gatewayprocess.Gateway) error {
	if p.experiment.IdleSeconds == 0 {
		return nil
	}
	p.log.Info("quiet", "seconds", p.experiment.IdleSeconds)
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	span, err := p.standins.measureSpan(ctx, gateways, seconds(p.experiment.IdleSeconds))
	if err != nil {
		return err
	}
	gatewayCount := len(gateways)
	p.run.Metrics["quiet_core_share"] = span.used.CPU.Seconds() / span.seconds() / float64(gatewayCount)
	discovery, counter := span.after.controlTraffic(&span.before, gatewayCount)
	p.run.Metrics["quiet_control_bytes_per_s"] = discovery + counter
	return nil
}

// measureLoad measures the gateways under load.
func (p *phase) measureLoad(ctx context.Context, gateways []*gatewayprocess.Gateway) error {
	e := p.experiment
	requests := e.newLoad(len(gateways))
	p.log.Info("load", "seconds", e.WarmupSeconds+e.Seconds, "requests_per_s", requests.RequestsPerSecond,
		"tenants", e.Tenants.Count)
	ctx, cancel := context.WithCancel(ctx)
	var result gatewayprocess.Result
	var loading sync.WaitGroup
	defer loading.Wait()
	defer cancel()
	loading.Go(func() {
		result = requests.Run(ctx, gateways, time.Now(), seconds(e.WarmupSeconds), seconds(e.Seconds))
	})
	if err := sleep(ctx, seconds(e.WarmupSeconds)); err != nil {
		return err
	}
	span, err := p.standins.measureSpan(ctx, gateways, seconds(e.Seconds))
	if err != nil {
		return err
	}
	loading.Wait()
	e.recordLoadMetrics(p.run.Metrics, &result, span, len(gateways))
	return context.Cause(ctx)
}

// newLoad returns the load that the tenants generate on this number of gateways.
func (e *Experiment) newLoad(gateways int) *gatewayprocess.Load {
	tenants, _ := e.tenants()
	return &gatewayprocess.Load{
		Seed:              e.Seed,
		RequestsPerSecond: e.Tenants.RequestsPerGateway * float64(gateways),
		Tenants:           tenants,
		ZipfExponent:      e.Tenants.ZipfExponent,
		Class:             requestClass,
		ClientTimeout:     clientTimeout,
		ServiceTime:       millis(e.Backends.ServiceTimeMS),
	}
}

// span holds the samples taken at the start and at the end of a measurement.
type span struct {
	before sample
	after  sample
	used   proc.Usage // CPU time of all gateways during the span; PeakRSS of the largest gateway since its start
}

// seconds returns the length of the span.
func (s *span) seconds() float64 { return s.after.at.Sub(s.before.at).Seconds() }

// measureSpan samples the stand-ins and the gateways at the start and at the end of a wait. The parameter length is
// the duration of the wait.
func (s *standins) measureSpan(
	ctx context.Context, gateways []*gatewayprocess.Gateway, length time.Duration,
) (*span, error) {
	before, usedBefore, err := s.sampleUsage(gateways)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, length); err != nil {
		return nil, err
	}
	after, used, err := s.sampleUsage(gateways)
	if err != nil {
		return nil, err
	}
	used.CPU -= usedBefore.CPU
	return &span{before: before, after: after, used: used}, nil
}

// sampleUsage samples the stand-ins and the usage of the gateways: the sum of their CPU times, and the peak memory of
// the largest gateway.
func (s *standins) sampleUsage(gateways []*gatewayprocess.Gateway) (sample, proc.Usage, error) {
	var total proc.Usage
	for _, g := range gateways {
		used, err := g.Usage()
		if err != nil {
			return sample{}, proc.Usage{}, err
		}
		total.CPU += used.CPU
		total.PeakRSS = max(total.PeakRSS, used.PeakRSS)
	}
	return s.sample(), total, nil
}

// recordLoadMetrics records the metrics of a load. The parameter gateways is the number of gateways.
func (e *Experiment) recordLoadMetrics(metrics Metrics, result *gatewayprocess.Result, span *span, gateways int) {
	scheduled := float64(result.Scheduled)
	metrics["requests"] = scheduled
	metrics["dropped"] = float64(result.Dropped)
	metrics["requests_per_s"] = scheduled / e.Seconds / float64(gateways)
	metrics.setRatio("served_share", float64(result.Served), scheduled)
	metrics.setRatio("refused_share", float64(result.Rejected), scheduled)
	metrics.setRatio("failed_share", float64(result.Failed), scheduled)
	metrics.setRatio("cpu_ms_per_request", float64(span.used.CPU)/float64(time.Millisecond), scheduled)
	metrics["memory_peak_mb"] = float64(span.used.PeakRSS) / (1 << 20)
	if result.Served > 0 {
		metrics["added_p50_ms"] = result.AddedLatency.P50
		metrics["added_p90_ms"] = result.AddedLatency.P90
		metrics["added_p99_ms"] = result.AddedLatency.P99
		metrics["added_p999_ms"] = result.AddedLatency.P999
		metrics["added_max_ms"] = result.AddedLatency.Max
		metrics["late_p99_ms"] = result.ScheduleLag.P99
	}
	e.recordLoadControlMetrics(metrics, span, scheduled, gateways)
	backends := &span.after.backends
	handshakes := float64(backends.Handshakes - span.before.backends.Handshakes)
	metrics["backend_connections"] = float64(backends.PeakConns)
	metrics["backend_connections_at_one"] = float64(backends.PeakConnsPerBackend)
	metrics.setRatio("backend_handshakes_per_request", handshakes, scheduled)
	metrics["backends_reached"] = float64(backends.BackendsReached)
}

// recordLoadControlMetrics records the metrics of the control traffic during a load. The parameters requests and
// gateways are the number of requests and the number of gateways.
func (e *Experiment) recordLoadControlMetrics(metrics Metrics, span *span, requests float64, gateways int) {
	discoveryTraffic, counterTraffic := span.after.controlTraffic(&span.before, gateways)
	metrics["control_bytes_per_s"] = discoveryTraffic + counterTraffic
	if e.Counter.Shards == 0 {
		return
	}
	before := &span.before.counter
	after := &span.after.counter
	calls := float64(after.Calls - before.Calls)
	metrics["counter_bytes_per_s"] = counterTraffic
	metrics.setRatio("counter_calls_per_request", calls, requests)
	metrics.setRatio("counter_turned_away_share", float64(after.Rejected-before.Rejected), calls)
	metrics["counter_names"] = float64(after.Names)
}
