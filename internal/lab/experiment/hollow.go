package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"amberlb/internal/lab/hollow"
	"amberlb/internal/lab/proc"
)

// measureHollow measures hollow gateways and the groups of customers behind them.
func (e *Experiment) measureHollow(ctx context.Context, v Version, r *Run, log *slog.Logger) error {
	s, err := startStandins(ctx, e)
	if err != nil {
		return err
	}
	defer s.close()
	log.Info("hollow gateways start", "gateways", e.hollowGateways(), "groups", len(e.Groups))
	var children []*proc.Process
	defer func() {
		for _, c := range children {
			c.Stop(stopGrace) // after a failure; those that have ended stay as they are
		}
	}()
	began := s.sample()
	for _, j := range e.hollowJobs() {
		text, err := e.encodeJob(j, s)
		if err != nil {
			return err
		}
		c, err := proc.Start(ctx, v.Fleetlab, nil, bytes.NewReader(text), "hollow")
		if err != nil {
			return fmt.Errorf("hollow gateways: %w", err)
		}
		children = append(children, c)
	}
	ended := allExited(children)
	listed, err := s.awaitLists(ctx, e.hollowGateways(), seconds(e.Fleet.ReadyTimeoutS+e.Restart.StaggerS), ended)
	if err != nil {
		return err
	}
	r.Metrics["hollow_lists_per_s"] = float64(listed.discovery.FullLists) / listed.at.Sub(began.at).Seconds()
	r.Metrics["hollow_list_bytes"] = float64(listed.discovery.Traffic.Bytes())
	log.Info("lists are out", "seconds", listed.at.Sub(began.at).Seconds())
	defer s.startChurn(ctx, e.Churn.ReplacementsPerSecond)()
	samples, err := s.sampleUntilDone(ctx, ended)
	if err != nil {
		return err
	}
	measuredSeconds, err := e.collectResults(children, r)
	if err != nil {
		return err
	}
	if len(e.Groups) > 0 {
		e.recordControlMetrics(samples, measuredSeconds, r.Metrics)
	}
	last := samples[len(samples)-1]
	r.Metrics["hollow_lists"], r.Metrics["hollow_counter_calls"] = float64(last.discovery.FullLists), float64(last.counter.Calls)
	return nil
}

// encodeJob is what the process of hollow gateways is told, as JSON.
func (e *Experiment) encodeJob(j hollowJob, s *standins) ([]byte, error) {
	settings, err := e.settings(j.firstRank)
	if err != nil {
		return nil, err
	}
	job := hollow.Job{Seed: e.Seed, Settings: settings, First: j.firstRank, Gateways: j.gateways, Fleet: e.Fleet.Gateways,
		Discovery: s.discoveryAddress, Counter: s.counterAddress, ServiceS: e.Backends.ServiceTimeMS / 1000, WarmS: e.WarmupSeconds, RunS: e.Seconds,
		MemoryMB: e.jobMB(j), StartSpreadS: e.Restart.StaggerS}
	first := j.firstRank
	for n, g := range e.Groups[j.firstGroup : j.firstGroup+j.groupCount] {
		job.Groups = append(job.Groups, hollow.Group{Name: g.Name, First: first, Gateways: g.Gateways, Spread: g.SubsetSize,
			Customers: g.Customers, PerSecond: g.RequestsPerSecond, Zipf: g.ZipfExponent, Plan: j.firstGroup + n, Units: g.UnitsPerRequest, Shift: g.ShiftingWeights})
		first += g.Gateways
	}
	return json.Marshal(job)
}

func allExited(children []*proc.Process) <-chan struct{} {
	all := make(chan struct{})
	go func() {
		defer close(all)
		for _, c := range children {
			<-c.Done()
		}
	}()
	return all
}

// awaitLists waits until n whole lists are out and returns a sample of that time.
func (s *standins) awaitLists(ctx context.Context, n int, timeout time.Duration, ended <-chan struct{}) (sample, error) {
	deadline := time.After(timeout)
	for {
		if now := s.sample(); now.discovery.FullLists >= uint64(n) {
			return now, nil
		}
		select {
		case <-ctx.Done():
			return sample{}, context.Cause(ctx)
		case <-deadline:
			return sample{}, errors.New("hollow gateways are without a list in time")
		case <-ended:
			return s.sample(), nil // their results tell more
		case <-time.After(listPollInterval):
		}
	}
}

// sampleUntilDone samples the stand-ins until the processes have ended.
func (s *standins) sampleUntilDone(ctx context.Context, ended <-chan struct{}) ([]sample, error) {
	var samples []sample
	for {
		select {
		case <-ended:
			return append(samples, s.sample()), nil
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-time.After(sampleInterval):
			samples = append(samples, s.sample())
		}
	}
}

// recordControlMetrics puts in the control traffic while the load of all processes counted.
// The last sample is of their end, and spans tell how long before it, in seconds,
// each one's load began to count.
func (e *Experiment) recordControlMetrics(samples []sample, measuredSeconds []float64, f Metrics) {
	end := samples[len(samples)-1].at
	from, to := end.Add(-seconds(slices.Min(measuredSeconds))), end.Add(-seconds(slices.Max(measuredSeconds)-e.Seconds))
	var measured []sample
	for _, s := range samples {
		if !s.at.Before(from) && !s.at.After(to) {
			measured = append(measured, s)
		}
	}
	if len(measured) < 2 {
		return
	}
	before, after := measured[0], measured[len(measured)-1]
	discovery, counter := after.controlTraffic(&before, e.hollowGateways())
	f["hollow_control_bytes_per_s"] = discovery + counter
	if e.Counter.Shards > 0 {
		calls := float64(after.counter.Calls - before.counter.Calls)
		f["hollow_counter_calls_per_s"] = calls / after.at.Sub(before.at).Seconds()
		f.setRatio("hollow_counter_turned_away_share", float64(after.counter.Rejected-before.counter.Rejected), calls)
	}
}

// collectResults reads the results of the processes of hollow gateways, whose times to
// be ready are those of the slowest process, and returns how long each one's load
// counted, in seconds.
func (e *Experiment) collectResults(children []*proc.Process, r *Run) ([]float64, error) {
	var measuredSeconds []float64
	ready, cpu, memory := 0.0, 0.0, 0.0
	for _, c := range children {
		if err := c.Wait(); err != nil {
			return nil, fmt.Errorf("hollow gateways ended with %w: %s", err, c.Stderr())
		}
		var result hollow.Result
		if err := json.Unmarshal(c.Stdout(), &result); err != nil {
			return nil, fmt.Errorf("result of hollow gateways: %w", err)
		}
		measuredSeconds = append(measuredSeconds, result.SpanS)
		ready += float64(result.Ready.Count)
		cpu += result.CPUSeconds / result.SpanS
		memory += result.PeakMB
		for name, at := range map[string]float64{"hollow_ready_p50_s": result.Ready.P50, "hollow_ready_p90_s": result.Ready.P90,
			"hollow_ready_p99_s": result.Ready.P99, "hollow_ready_max_s": result.Ready.Max} {
			r.Metrics[name] = max(r.Metrics[name], at)
		}
		for _, g := range result.Groups {
			r.Groups[g.Name] = groupMetrics(&g)
		}
	}
	n := float64(e.hollowGateways())
	r.Metrics["hollow_ready"], r.Metrics["hollow_memory_mb"] = ready, memory
	if len(e.Groups) > 0 {
		r.Metrics["hollow_cpu_share"] = cpu / n
	}
	return measuredSeconds, nil
}

func groupMetrics(g *hollow.GroupResult) Metrics {
	tries := float64(g.Tries)
	f := Metrics{"tries": tries, "dropped": float64(g.Dropped)}
	f.setRatio("calls_per_request", float64(g.Calls), tries)
	f.setRatio("calls_unanswered_share", float64(g.CallsUnanswered), float64(g.Calls))
	f.setRatio("refused_share", float64(g.Refused), tries)
	f.setRatio("refused_inside_share", float64(g.RefusedInside), tries)
	f.setRatio("refused_half_full_share", float64(g.RefusedHalfFull), tries)
	f.setRatio("beyond_share", float64(g.Beyond), tries)
	f.setRatio("failed_share", float64(g.Failed), tries)
	if g.Served > 0 {
		f["p50_ms"], f["p99_ms"] = g.Latency.P50, g.Latency.P99
	}
	return f
}
