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
	Versions []Version // versions to measure at each point of a sweep, in this order; one of them is Candidate
	Root     string    // root directory of the repository
	Log      *slog.Logger
}

// Run runs the experiment, once for each version and value of the sweep, and returns the report. The parameter
// file is the path of the experiment file. Run only records this path in the report. If ctx ends, Run stops all
// processes and stand-ins that it started, and the report says which runs are partial. Run returns an error only if the
// experiment is invalid. In that case, it has started nothing.
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

// runPoint measures a version at one point of a sweep. The arguments key and value are the swept key and its value at
// that point. Without a sweep, key is "".
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

// commitID returns the id of the commit that is checked out in root, with the suffix "-dirty" if there are uncommitted
// changes. Outside a repository it returns "unknown".
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

// describeMachine describes this machine. Values that can't be read are left empty.
func describeMachine() Machine {
	machine := Machine{Cores: runtime.NumCPU()}
	machine.MemoryMB, _ = machineMemoryMB() // validateCapacity has already called machineMemoryMB successfully
	if load, err := os.ReadFile("/proc/loadavg"); err == nil {
		averages := strings.Fields(string(load))[:3]
		machine.Load = strings.Join(averages, " ")
	}
	return machine
}
