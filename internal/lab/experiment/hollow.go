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

// runHollow measures hollow gateways and the groups of customers behind them.
func (e *Experiment) runHollow(ctx context.Context, v Version, r *Run, log *slog.Logger) error {
	s, err := newStandins(ctx, e)
	if err != nil {
		return err
	}
	defer s.close()
	log.Info("hollow gateways start", "gateways", e.hollow(), "groups", len(e.Groups))
	var children []*proc.Process
	defer func() {
		for _, c := range children {
			c.Stop(stopGrace) // after a failure; those that have ended stay as they are
		}
	}()
	began := s.sample()
	for _, j := range e.jobs() {
		text, err := e.job(j, s)
		if err != nil {
			return err
		}
		c, err := proc.Start(ctx, v.Fleetlab, nil, bytes.NewReader(text), "hollow")
		if err != nil {
			return fmt.Errorf("hollow gateways: %w", err)
		}
		children = append(children, c)
	}
	ended := allDone(children)
	listed, err := s.allListed(ctx, e.hollow(), seconds(e.Fleet.ReadyIn+e.Restart.WithinS), ended)
	if err != nil {
		return err
	}
	r.Figures["hollow_lists_per_s"] = float64(listed.registry.Whole) / listed.at.Sub(began.at).Seconds()
	r.Figures["hollow_list_bytes"] = float64(listed.registry.Wire.Bytes())
	log.Info("lists are out", "seconds", listed.at.Sub(began.at).Seconds())
	defer s.startChurn(ctx, e.Churn.PerSecond)()
	samples, err := s.follow(ctx, ended)
	if err != nil {
		return err
	}
	spans, err := e.gather(children, r)
	if err != nil {
		return err
	}
	if len(e.Groups) > 0 {
		e.counted(samples, spans, r.Figures)
	}
	last := samples[len(samples)-1]
	r.Figures["hollow_lists"], r.Figures["hollow_counter_calls"] = float64(last.registry.Whole), float64(last.counter.Calls)
	return nil
}

// job is what the process of hollow gateways is told, as JSON.
func (e *Experiment) job(j span, s *standins) ([]byte, error) {
	settings, err := e.settings(j.first)
	if err != nil {
		return nil, err
	}
	job := hollow.Job{Seed: e.Seed, Settings: settings, First: j.first, Gateways: j.gateways, Fleet: e.Fleet.Gateways,
		Discovery: s.discovery, Counter: s.counted, ServiceS: e.Backends.ServiceMS / 1000, WarmS: e.WarmSeconds, RunS: e.Seconds,
		MemoryMB: e.jobMB(j), StartSpreadS: e.Restart.WithinS}
	first := j.first
	for n, g := range e.Groups[j.group : j.group+j.groups] {
		job.Groups = append(job.Groups, hollow.Group{Name: g.Name, First: first, Gateways: g.Gateways, Spread: g.Spread,
			Customers: g.Customers, PerSecond: g.PerSecond, Zipf: g.Zipf, Plan: j.group + n, Units: g.Units, Shift: g.Shift})
		first += g.Gateways
	}
	return json.Marshal(job)
}

func allDone(children []*proc.Process) <-chan struct{} {
	all := make(chan struct{})
	go func() {
		defer close(all)
		for _, c := range children {
			<-c.Done()
		}
	}()
	return all
}

// allListed waits until n whole lists are out and returns a sample of that time.
func (s *standins) allListed(ctx context.Context, n int, most time.Duration, ended <-chan struct{}) (sample, error) {
	late := time.After(most)
	for {
		if now := s.sample(); now.registry.Whole >= uint64(n) {
			return now, nil
		}
		select {
		case <-ctx.Done():
			return sample{}, context.Cause(ctx)
		case <-late:
			return sample{}, errors.New("hollow gateways are without a list in time")
		case <-ended:
			return s.sample(), nil // their results tell more
		case <-time.After(listPoll):
		}
	}
}

// follow samples the stand-ins until the processes have ended.
func (s *standins) follow(ctx context.Context, ended <-chan struct{}) ([]sample, error) {
	var samples []sample
	for {
		select {
		case <-ended:
			return append(samples, s.sample()), nil
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-time.After(sampleGap):
			samples = append(samples, s.sample())
		}
	}
}

// counted puts in the control traffic while the load of all processes counted.
// The last sample is of their end, and spans tell how long before it, in seconds,
// each one's load began to count.
func (e *Experiment) counted(samples []sample, spans []float64, f Figures) {
	end := samples[len(samples)-1].at
	from, to := end.Add(-seconds(slices.Min(spans))), end.Add(-seconds(slices.Max(spans)-e.Seconds))
	var inside []sample
	for _, s := range samples {
		if !s.at.Before(from) && !s.at.After(to) {
			inside = append(inside, s)
		}
	}
	if len(inside) < 2 {
		return
	}
	before, after := inside[0], inside[len(inside)-1]
	discovery, counter := after.traffic(&before, e.hollow())
	f["hollow_control_bytes_per_s"] = discovery + counter
	if e.Counter.Parts > 0 {
		calls := float64(after.counter.Calls - before.counter.Calls)
		f["hollow_counter_calls_per_s"] = calls / after.at.Sub(before.at).Seconds()
		f.share("hollow_counter_turned_away_share", float64(after.counter.TurnedAway-before.counter.TurnedAway), calls)
	}
}

// gather reads the results of the processes of hollow gateways, whose times to
// be ready are those of the slowest process, and returns how long each one's load
// counted, in seconds.
func (e *Experiment) gather(children []*proc.Process, r *Run) ([]float64, error) {
	var spans []float64
	ready, cpu, memory := 0.0, 0.0, 0.0
	for _, c := range children {
		if err := c.Wait(); err != nil {
			return nil, fmt.Errorf("hollow gateways ended with %w: %s", err, c.Stderr())
		}
		var result hollow.Result
		if err := json.Unmarshal(c.Output(), &result); err != nil {
			return nil, fmt.Errorf("result of hollow gateways: %w", err)
		}
		spans = append(spans, result.SpanS)
		ready += float64(result.Ready.Count)
		cpu += result.CPUSeconds / result.SpanS
		memory += result.PeakMB
		for name, at := range map[string]float64{"hollow_ready_p50_s": result.Ready.P50, "hollow_ready_p90_s": result.Ready.P90,
			"hollow_ready_p99_s": result.Ready.P99, "hollow_ready_max_s": result.Ready.Max} {
			r.Figures[name] = max(r.Figures[name], at)
		}
		for _, g := range result.Groups {
			r.Groups[g.Name] = ofGroup(&g)
		}
	}
	n := float64(e.hollow())
	r.Figures["hollow_ready"], r.Figures["hollow_memory_mb"] = ready, memory
	if len(e.Groups) > 0 {
		r.Figures["hollow_cpu_share"] = cpu / n
	}
	return spans, nil
}

func ofGroup(g *hollow.GroupResult) Figures {
	tries := float64(g.Tries)
	f := Figures{"tries": tries, "dropped": float64(g.Dropped)}
	f.share("calls_per_request", float64(g.Calls), tries)
	f.share("calls_unanswered_share", float64(g.CallsUnanswered), float64(g.Calls))
	f.share("refused_share", float64(g.Refused), tries)
	f.share("refused_inside_share", float64(g.RefusedInside), tries)
	f.share("refused_half_full_share", float64(g.RefusedHalfFull), tries)
	f.share("beyond_share", float64(g.Beyond), tries)
	f.share("failed_share", float64(g.Failed), tries)
	if g.Served > 0 {
		f["p50_ms"], f["p99_ms"] = g.Latency.P50, g.Latency.P99
	}
	return f
}
