package experiment

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"amberlb/internal/lab/gatewayprocess"
	"amberlb/internal/lab/proc"
)

// measureProcesses measures real gateways: their start, a quiet time, then a load.
func (e *Experiment) measureProcesses(ctx context.Context, v Version, r *Run, log *slog.Logger) (err error) {
	s, err := startStandins(ctx, e)
	if err != nil {
		return err
	}
	defer s.close()
	listBytes, err := s.listBytes(ctx)
	if err != nil {
		return err
	}
	r.Metrics["list_bytes"] = float64(listBytes)
	var gateways []*gatewayprocess.Gateway
	defer func() {
		for _, g := range gateways {
			err = errors.Join(err, g.Stop())
		}
	}()
	log.Info("gateways start", "gateways", e.Fleet.GatewayProcesses, "backends", e.Backends.Count)
	for rank := range e.Fleet.GatewayProcesses {
		settings, err := e.settings(rank)
		if err != nil {
			return err
		}
		g, err := gatewayprocess.Start(ctx, v.Gateway, gatewayprocess.Options{Name: fmt.Sprintf("g-%05d", rank), Discovery: s.discoveryAddress, Counter: s.counterAddress,
			Seed: e.Seed + uint64(rank), Cores: e.Fleet.Cores, MemoryMB: e.Fleet.MemoryMB, Settings: settings})
		if err != nil {
			return err
		}
		gateways = append(gateways, g)
	}
	if ready, err := e.awaitReady(ctx, gateways, r); err != nil || !ready {
		return err
	}
	defer s.startChurn(ctx, e.Churn.ReplacementsPerSecond)()
	if err := e.measureIdle(ctx, s, gateways, r, log); err != nil {
		return err
	}
	return e.measureLoad(ctx, s, gateways, r, log)
}

// awaitReady waits for all gateways. If one is not ready in time there is no more to
// measure, which is a figure too.
func (e *Experiment) awaitReady(ctx context.Context, gateways []*gatewayprocess.Gateway, r *Run) (bool, error) {
	never, slowest := 0, time.Duration(0)
	for _, g := range gateways {
		took, err := g.WaitReady(ctx, seconds(e.Fleet.ReadyTimeoutS))
		switch {
		case errors.Is(err, gatewayprocess.ErrReadyTimeout):
			never++
		case err != nil:
			return false, err
		}
		slowest = max(slowest, took)
	}
	r.Metrics["never_ready"] = float64(never)
	if never == 0 {
		r.Metrics["ready_s"] = slowest.Seconds()
	}
	return never == 0, nil
}

// measureIdle measures gateways that are asked for nothing.
func (e *Experiment) measureIdle(ctx context.Context, s *standins, gateways []*gatewayprocess.Gateway, r *Run, log *slog.Logger) error {
	if e.IdleSeconds == 0 {
		return nil
	}
	log.Info("quiet", "seconds", e.IdleSeconds)
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	before, after, used, err := s.measureDuring(ctx, gateways, seconds(e.IdleSeconds))
	if err != nil {
		return err
	}
	n := len(gateways)
	r.Metrics["quiet_core_share"] = used.CPU.Seconds() / after.at.Sub(before.at).Seconds() / float64(n)
	discovery, counter := after.controlTraffic(&before, n)
	r.Metrics["quiet_control_bytes_per_s"] = discovery + counter
	return nil
}

// sampleUsage samples the stand-ins and the gateways: their processor time together, and
// the memory of the largest.
func (s *standins) sampleUsage(gateways []*gatewayprocess.Gateway) (sample, proc.Usage, error) {
	var sum proc.Usage
	for _, g := range gateways {
		u, err := g.Usage()
		if err != nil {
			return sample{}, sum, err
		}
		sum.CPU += u.CPU
		sum.PeakRSS = max(sum.PeakRSS, u.PeakRSS)
	}
	return s.sample(), sum, nil
}

// measureDuring samples before and after a while, and tells what the gateways used in it:
// their processor time, and the peak of the largest one's memory up to its end.
func (s *standins) measureDuring(ctx context.Context, gateways []*gatewayprocess.Gateway, d time.Duration) (before, after sample, used proc.Usage, err error) {
	before, start, err := s.sampleUsage(gateways)
	if err == nil {
		err = sleep(ctx, d)
	}
	if err != nil {
		return before, after, used, err
	}
	after, used, err = s.sampleUsage(gateways)
	used.CPU -= start.CPU
	return before, after, used, err
}

// measureLoad measures gateways at work.
func (e *Experiment) measureLoad(ctx context.Context, s *standins, gateways []*gatewayprocess.Gateway, r *Run, log *slog.Logger) error {
	tenants, _ := e.tenants()
	l := gatewayprocess.Load{Seed: e.Seed, RequestsPerSecond: e.Tenants.RequestsPerGateway * float64(len(gateways)), Tenants: tenants, ZipfExponent: e.Tenants.ZipfExponent,
		Class: class, ClientTimeout: clientTimeout, ServiceTime: millis(e.Backends.ServiceTimeMS)}
	log.Info("load", "seconds", e.WarmupSeconds+e.Seconds, "requests_per_s", l.RequestsPerSecond, "tenants", e.Tenants.Count)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var result gatewayprocess.Result
	var driving sync.WaitGroup
	defer driving.Wait()
	defer cancel()
	driving.Go(func() {
		result = l.Run(ctx, gateways, time.Now(), seconds(e.WarmupSeconds), seconds(e.Seconds))
	})
	if err := sleep(ctx, seconds(e.WarmupSeconds)); err != nil {
		return err
	}
	before, after, used, err := s.measureDuring(ctx, gateways, seconds(e.Seconds))
	if err != nil {
		return err
	}
	driving.Wait()
	e.recordLoadMetrics(r.Metrics, &result, &before, &after, used.CPU, len(gateways))
	r.Metrics["memory_peak_mb"] = float64(used.PeakRSS) / (1 << 20)
	return context.Cause(ctx)
}

// recordLoadMetrics puts in the figures of a load on n gateways.
func (e *Experiment) recordLoadMetrics(f Metrics, result *gatewayprocess.Result, before, after *sample, cpu time.Duration, n int) {
	due := float64(result.Scheduled)
	f["requests"], f["dropped"] = due, float64(result.Dropped)
	f["requests_per_s"] = due / e.Seconds / float64(n)
	f.setRatio("served_share", float64(result.Served), due)
	f.setRatio("refused_share", float64(result.Rejected), due)
	f.setRatio("failed_share", float64(result.Failed), due)
	f.setRatio("cpu_ms_per_request", float64(cpu)/float64(time.Millisecond), due)
	if result.Served > 0 {
		f["added_p50_ms"], f["added_p90_ms"], f["added_p99_ms"] = result.AddedLatency.P50, result.AddedLatency.P90, result.AddedLatency.P99
		f["added_p999_ms"], f["added_max_ms"] = result.AddedLatency.P999, result.AddedLatency.Max
		f["late_p99_ms"] = result.ScheduleLag.P99
	}
	discovery, counter := after.controlTraffic(before, n)
	f["control_bytes_per_s"] = discovery + counter
	if e.Counter.Shards > 0 {
		calls := float64(after.counter.Calls - before.counter.Calls)
		f["counter_bytes_per_s"] = counter
		f.setRatio("counter_calls_per_request", calls, due)
		f.setRatio("counter_turned_away_share", float64(after.counter.Rejected-before.counter.Rejected), calls)
		f["counter_names"] = float64(after.counter.Names)
	}
	f["backend_connections"], f["backend_connections_at_one"] = float64(after.backends.PeakConns), float64(after.backends.PeakConnsPerBackend)
	f.setRatio("backend_handshakes_per_request", float64(after.backends.Handshakes-before.backends.Handshakes), due)
	f["backends_reached"] = float64(after.backends.BackendsReached)
}
