package experiment

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"time"
)

// Lab runs experiments.
type Lab struct {
	Versions []Version // one after the other at each point of a sweep; one is After
	Root     string    // of the repository
	Log      *slog.Logger
}

// Run runs the experiment of a file, at each of the values that it sweeps, and
// reports. When ctx ends, what was started is ended, and the report says what is
// partial. The error is one of the experiment, found before anything is started.
func (l *Lab) Run(ctx context.Context, file string, e Experiment) (*Report, error) {
	sweep, points, err := e.sweepPoints()
	if err != nil {
		return nil, err
	}
	report := &Report{File: file, Experiment: e, Seed: e.Seed, Commit: commitID(l.Root), Started: time.Now().UTC().Round(time.Second),
		Machine: describeMachine()}
	for i := range points {
		for _, v := range l.Versions {
			if sweep.key != "" {
				l.Log.Info("point", "version", v.Name, sweep.key, sweep.values[i])
			}
			run := points[i].runVersion(ctx, v, l.Log)
			run.Key, run.Value = sweep.key, sweep.values[i]
			for _, why := range run.Partial {
				l.Log.Warn("partial", "why", why)
			}
			report.Partial = report.Partial || len(run.Partial) > 0
			report.Runs = append(report.Runs, run)
		}
	}
	report.DurationS = time.Since(report.Started).Seconds()
	report.Slopes = fitSlopes(report.Runs)
	report.Verdicts = evaluateBounds(e.Bounds, report.Runs)
	report.Passed = true
	for _, v := range report.Verdicts {
		report.Passed = report.Passed && v.Passed
	}
	return report, nil
}

// Write writes the report to a file, as JSON.
func (r *Report) Write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// commitID names the commit of a checkout, and says if it holds changes beside.
func commitID(root string) string {
	head, err := exec.Command("git", "-C", root, "rev-parse", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	changes, err := exec.Command("git", "-C", root, "status", "--porcelain").Output()
	if err != nil || len(changes) > 0 {
		return strings.TrimSpace(string(head)) + "-dirty"
	}
	return strings.TrimSpace(string(head))
}

func describeMachine() Machine {
	m := Machine{Cores: runtime.NumCPU()}
	m.MemoryMB, _ = machineMB() // the checks have read it before
	if load, err := os.ReadFile("/proc/loadavg"); err == nil {
		m.Load = strings.Join(strings.Fields(string(load))[:3], " ")
	}
	return m
}
