package experiment

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"amberlb/internal/lab/proc"
	"amberlb/internal/lab/real"
)

// runReal measures real gateways: their start, a quiet time, then a load.
func (e *Experiment) runReal(ctx context.Context, v Version, r *Run, log *slog.Logger) (err error) {
	s, err := newStandins(ctx, e)
	if err != nil {
		return err
	}
	defer s.close()
	bytes, err := s.listBytes(ctx)
	if err != nil {
		return err
	}
	r.Figures["list_bytes"] = float64(bytes)
	var gateways []*real.Gateway
	defer func() {
		for _, g := range gateways {
			err = errors.Join(err, g.Stop())
		}
	}()
	log.Info("gateways start", "gateways", e.Fleet.Real, "backends", e.Backends.Count)
	for rank := range e.Fleet.Real {
		settings, err := e.settings(rank)
		if err != nil {
			return err
		}
		g, err := real.Start(ctx, v.Gateway, real.Options{Name: fmt.Sprintf("g-%05d", rank), Discovery: s.discovery, Counter: s.counted,
			Seed: e.Seed + uint64(rank), Cores: e.Fleet.Cores, MemoryMB: e.Fleet.MemoryMB, Settings: settings})
		if err != nil {
			return err
		}
		gateways = append(gateways, g)
	}
	if ready, err := e.ready(ctx, gateways, r); err != nil || !ready {
		return err
	}
	defer s.startChurn(ctx, e.Churn.PerSecond)()
	if err := e.quiet(ctx, s, gateways, r, log); err != nil {
		return err
	}
	return e.load(ctx, s, gateways, r, log)
}

// ready waits for all gateways. If one is not ready in time there is no more to
// measure, which is a figure too.
func (e *Experiment) ready(ctx context.Context, gateways []*real.Gateway, r *Run) (bool, error) {
	never, slowest := 0, time.Duration(0)
	for _, g := range gateways {
		took, err := g.Ready(ctx, seconds(e.Fleet.ReadyIn))
		switch {
		case errors.Is(err, real.ErrNeverReady):
			never++
		case err != nil:
			return false, err
		}
		slowest = max(slowest, took)
	}
	r.Figures["never_ready"] = float64(never)
	if never == 0 {
		r.Figures["ready_s"] = slowest.Seconds()
	}
	return never == 0, nil
}

// quiet measures gateways that are asked for nothing.
func (e *Experiment) quiet(ctx context.Context, s *standins, gateways []*real.Gateway, r *Run, log *slog.Logger) error {
	if e.QuietSeconds == 0 {
		return nil
	}
	log.Info("quiet", "seconds", e.QuietSeconds)
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	before, after, used, err := s.during(ctx, gateways, seconds(e.QuietSeconds))
	if err != nil {
		return err
	}
	n := len(gateways)
	r.Figures["quiet_core_share"] = used.CPU.Seconds() / after.at.Sub(before.at).Seconds() / float64(n)
	discovery, counter := after.traffic(&before, n)
	r.Figures["quiet_control_bytes_per_s"] = discovery + counter
	return nil
}

// used samples the stand-ins and the gateways: their processor time together, and
// the memory of the largest.
func (s *standins) used(gateways []*real.Gateway) (sample, proc.Usage, error) {
	var sum proc.Usage
	for _, g := range gateways {
		u, err := g.Usage()
		if err != nil {
			return sample{}, sum, err
		}
		sum.CPU += u.CPU
		sum.PeakBytes = max(sum.PeakBytes, u.PeakBytes)
	}
	return s.sample(), sum, nil
}

// during samples before and after a while, and tells what the gateways used in it:
// their processor time, and the peak of the largest one's memory up to its end.
func (s *standins) during(ctx context.Context, gateways []*real.Gateway, d time.Duration) (before, after sample, used proc.Usage, err error) {
	before, start, err := s.used(gateways)
	if err == nil {
		err = sleep(ctx, d)
	}
	if err != nil {
		return before, after, used, err
	}
	after, used, err = s.used(gateways)
	used.CPU -= start.CPU
	return before, after, used, err
}

// load measures gateways at work.
func (e *Experiment) load(ctx context.Context, s *standins, gateways []*real.Gateway, r *Run, log *slog.Logger) error {
	tenants, _ := e.tenants()
	l := real.Load{Seed: e.Seed, PerSecond: e.Tenants.PerGateway * float64(len(gateways)), Tenants: tenants, Zipf: e.Tenants.Zipf,
		Class: class, Patience: patience, Service: millis(e.Backends.ServiceMS)}
	log.Info("load", "seconds", e.WarmSeconds+e.Seconds, "requests_per_s", l.PerSecond, "tenants", e.Tenants.Count)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var result real.Result
	var driving sync.WaitGroup
	defer driving.Wait()
	defer cancel()
	driving.Go(func() {
		result = l.Drive(ctx, gateways, time.Now(), seconds(e.WarmSeconds), seconds(e.Seconds))
	})
	if err := sleep(ctx, seconds(e.WarmSeconds)); err != nil {
		return err
	}
	before, after, used, err := s.during(ctx, gateways, seconds(e.Seconds))
	if err != nil {
		return err
	}
	driving.Wait()
	e.loaded(r.Figures, &result, &before, &after, used.CPU, len(gateways))
	r.Figures["memory_peak_mb"] = float64(used.PeakBytes) / (1 << 20)
	return context.Cause(ctx)
}

// loaded puts in the figures of a load on n gateways.
func (e *Experiment) loaded(f Figures, result *real.Result, before, after *sample, cpu time.Duration, n int) {
	due := float64(result.Due)
	f["requests"], f["dropped"] = due, float64(result.Dropped)
	f["requests_per_s"] = due / e.Seconds / float64(n)
	f.share("served_share", float64(result.Served), due)
	f.share("refused_share", float64(result.Refused), due)
	f.share("failed_share", float64(result.Failed), due)
	f.share("cpu_ms_per_request", float64(cpu)/float64(time.Millisecond), due)
	if result.Served > 0 {
		f["added_p50_ms"], f["added_p90_ms"], f["added_p99_ms"] = result.Added.P50, result.Added.P90, result.Added.P99
		f["added_p999_ms"], f["added_max_ms"] = result.Added.P999, result.Added.Max
		f["late_p99_ms"] = result.Late.P99
	}
	discovery, counter := after.traffic(before, n)
	f["control_bytes_per_s"] = discovery + counter
	if e.Counter.Parts > 0 {
		calls := float64(after.counter.Calls - before.counter.Calls)
		f["counter_bytes_per_s"] = counter
		f.share("counter_calls_per_request", calls, due)
		f.share("counter_turned_away_share", float64(after.counter.TurnedAway-before.counter.TurnedAway), calls)
		f["counter_names"] = float64(after.counter.Names)
	}
	f["backend_connections"], f["backend_connections_at_one"] = float64(after.origin.MostOpen), float64(after.origin.MostAtOne)
	f.share("backend_handshakes_per_request", float64(after.origin.Handshakes-before.origin.Handshakes), due)
	f["backends_reached"] = float64(after.origin.Reached)
}
