package experiment

import (
	"context"
	"log/slog"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"time"
)

// Lab runs experiments.
type Lab struct {
	Versions []Version // measured one after the other at each point of a sweep; one is Candidate
	Root     string    // root directory of the repository
	Log      *slog.Logger
}

// Run runs the experiment of a file, at each of the values that it sweeps, and returns the report. When ctx ends, what
// was started is ended, and the report says what is partial. The error is one of the experiment, found before anything
// is started.
func (l *Lab) Run(ctx context.Context, file string, e Experiment) (*Report, error) {
	sweep, points, err := e.sweepPoints()
	if err != nil {
		return nil, err
	}
	report := &Report{
		File:       file,
		Experiment: e,
		Seed:       e.Seed,
		Commit:     commitID(l.Root),
		Started:    time.Now().UTC().Round(time.Second),
		Machine:    describeMachine(),
	}
	for i := range points {
		for _, version := range l.Versions {
			run := l.runPoint(ctx, &points[i], version, sweep.key, sweep.values[i])
			report.Runs = append(report.Runs, run)
			report.Partial = report.Partial || len(run.Partial) > 0
		}
	}
	report.DurationS = time.Since(report.Started).Seconds()
	report.Slopes = fitSlopes(report.Runs)
	report.Verdicts = evaluateBounds(e.Bounds, report.Runs)
	report.Passed = true
	for _, verdict := range report.Verdicts {
		report.Passed = report.Passed && verdict.Passed
	}
	return report, nil
}

// runPoint measures a version at one point of a sweep, where the key has a value; it is "" without a sweep.
func (l *Lab) runPoint(ctx context.Context, point *Experiment, version Version, key string, value float64) Run {
	if key != "" {
		l.Log.Info("point", "version", version.Name, key, value)
	}
	run := point.runVersion(ctx, version, l.Log)
	run.Key = key
	run.Value = value
	for _, reason := range run.Partial {
		l.Log.Warn("partial", "why", reason)
	}
	return run
}

// commitID names the commit of a checkout, with "-dirty" behind it if there are changes beside. It is "unknown" outside
// a repository.
func commitID(root string) string {
	head, err := exec.Command("git", "-C", root, "rev-parse", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	commit := strings.TrimSpace(string(head))
	changes, err := exec.Command("git", "-C", root, "status", "--porcelain").Output()
	if err != nil || len(changes) > 0 {
		return commit + "-dirty"
	}
	return commit
}

// describeMachine describes this machine. What can't be read is left out.
func describeMachine() Machine {
	machine := Machine{Cores: runtime.NumCPU()}
	machine.MemoryMB, _ = machineMemoryMB() // the checks have read it before
	if load, err := os.ReadFile("/proc/loadavg"); err == nil {
		averages := strings.Fields(string(load))[:3]
		machine.Load = strings.Join(averages, " ")
	}
	return machine
}
