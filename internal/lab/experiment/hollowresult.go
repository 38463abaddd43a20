package experiment

import (
	"encoding/json"
	"fmt"
	"slices"

	"amberlb/internal/lab/hollow"
	"amberlb/internal/lab/proc"
)

// collectResults waits until the processes of the hollow gateways have exited, and records their results. For each
// quantile of the time until a gateway is ready, it records the maximum over the processes. The returned
// measuredSeconds holds, for each process, the time from the start of its measured load to its last answer.
func (p *phase) collectResults(children []*proc.Process) (measuredSeconds []float64, err error) {
	metrics := p.run.Metrics
	ready := 0.0
	cpuShares := 0.0
	memoryMB := 0.0
	for _, child := range children {
		result, err := awaitResult(child)
		if err != nil {
			return nil, err
		}
		measuredSeconds = append(measuredSeconds, result.SpanS)
		ready += float64(result.Ready.Count)
		cpuShares += result.CPUSeconds / result.SpanS
		memoryMB += result.PeakMB
		metrics.setMax("hollow_ready_p50_s", result.Ready.P50)
		metrics.setMax("hollow_ready_p90_s", result.Ready.P90)
		metrics.setMax("hollow_ready_p99_s", result.Ready.P99)
		metrics.setMax("hollow_ready_max_s", result.Ready.Max)
		for i := range result.Groups {
			group := &result.Groups[i]
			p.run.Groups[group.Name] = groupMetrics(group)
		}
	}
	metrics["hollow_ready"] = ready
	metrics["hollow_memory_mb"] = memoryMB
	if len(p.experiment.Groups) > 0 {
		metrics["hollow_cpu_share"] = cpuShares / float64(p.experiment.hollowGateways())
	}
	return measuredSeconds, nil
}

// awaitResult waits until a process of hollow gateways exits, and decodes its result.
func awaitResult(child *proc.Process) (*hollow.Result, error) {
	if err := child.Wait(); err != nil {
		return nil, fmt.Errorf("hollow gateways: process exited with %w: %s", err, child.Stderr())
	}
	var result hollow.Result
	if err := json.Unmarshal(child.Stdout(), &result); err != nil {
		return nil, fmt.Errorf("hollow gateways: decoding the result: %w", err)
	}
	return &result, nil
}

// groupMetrics returns the metrics of a group.
func groupMetrics(result *hollow.GroupResult) Metrics {
	attempts := float64(result.Tries)
	calls := float64(result.Calls)
	metrics := Metrics{"tries": attempts, "dropped": float64(result.Dropped)}
	metrics.setRatio("calls_per_request", calls, attempts)
	metrics.setRatio("calls_unanswered_share", float64(result.CallsUnanswered), calls)
	metrics.setRatio("refused_share", float64(result.Refused), attempts)
	metrics.setRatio("refused_inside_share", float64(result.RefusedInside), attempts)
	metrics.setRatio("refused_half_full_share", float64(result.RefusedHalfFull), attempts)
	metrics.setRatio("beyond_share", float64(result.Beyond), attempts)
	metrics.setRatio("failed_share", float64(result.Failed), attempts)
	if result.Served > 0 {
		metrics["p50_ms"] = result.Latency.P50
		metrics["p99_ms"] = result.Latency.P99
	}
	return metrics
}

// recordControlMetrics records the control traffic of the period in which all processes measured their load. The last
// sample was taken when all processes had exited. Its time approximates the time of each process's last answer.
// measuredSeconds holds, for each process, the time from the start of its measured load to its last answer.
func (e *Experiment) recordControlMetrics(samples []sample, measuredSeconds []float64, metrics Metrics) {
	end := samples[len(samples)-1].at
	from := end.Add(-seconds(slices.Min(measuredSeconds)))
	to := end.Add(-seconds(slices.Max(measuredSeconds) - e.Seconds))
	var measured []sample
	for _, s := range samples {
		if !s.at.Before(from) && !s.at.After(to) {
			measured = append(measured, s)
		}
	}
	if len(measured) < 2 {
		return
	}
	before := &measured[0]
	after := &measured[len(measured)-1]
	discoveryTraffic, counterTraffic := after.controlTraffic(before, e.hollowGateways())
	metrics["hollow_control_bytes_per_s"] = discoveryTraffic + counterTraffic
	if e.Counter.Shards == 0 {
		return
	}
	calls := float64(after.counter.Calls - before.counter.Calls)
	rejected := float64(after.counter.Rejected - before.counter.Rejected)
	metrics["hollow_counter_calls_per_s"] = calls / after.at.Sub(before.at).Seconds()
	metrics.setRatio("hollow_counter_turned_away_share", rejected, calls)
}
