package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"amberlb/internal/lab/experiment"
	"amberlb/internal/lab/gatewayprocess"
)

// runAsCommand is the environment variable that makes the test binary run as fleetlab. newLab
// sets it, since the experiments of the tests start the test binary to run hollow gateways.
const runAsCommand = "FLEETLAB_AS_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runAsCommand) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// smallExperiment is an experiment file that takes a few seconds to run.
const smallExperiment = `
shows = "a test"
seed = 7
seconds = 2
[fleet]
real = 1
ready_within_s = 60
[backends]
count = 50
service_ms = 1
[counter]
parts = 2
service_ms = 0.01
waiting = 1000
[tenants]
count = 20
zipf = 1
per_gateway = 50
use = 0.5
burst_s = 1
[[group]]
name = "calm"
spread = 3
customers = 4
per_second = 20
use = 0.3
burst_s = 0.5
[[group]]
name = "all-at-one"
spread = 1
customers = 4
per_second = 20
use = 0.3
burst_s = 0.5
[[bound]]
figure = "never_ready"
most = 0
`

// writeExperiment writes an experiment to a temporary file and returns its path.
func writeExperiment(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "small.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// newLab builds the gateway of this checkout and returns a lab that measures it. The lab runs
// hollow gateways in child processes of this test binary. It writes its log to the buffer log,
// and calls onLine with each line of the log.
func newLab(t *testing.T, log *bytes.Buffer, onLine func(line string)) *experiment.Lab {
	t.Helper()
	dir := t.TempDir()
	if output, err := exec.Command("go", "build", "-o", dir, "../amberlb").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	t.Setenv(runAsCommand, "1")
	return &experiment.Lab{
		Root: ".",
		Log:  slog.New(slog.NewTextHandler(lineObserver{log, onLine}, nil)),
		Versions: []experiment.Version{{
			Name:     experiment.Candidate,
			Gateway:  gatewayprocess.Program{Command: "exec ./amberlb", Dir: dir},
			Fleetlab: os.Args[0],
		}},
	}
}

// lineObserver is a log writer that calls onLine with each line before writing it to a buffer.
type lineObserver struct {
	log    *bytes.Buffer
	onLine func(line string)
}

func (o lineObserver) Write(line []byte) (int, error) {
	o.onLine(string(line))
	return o.log.Write(line)
}

// In a small experiment with a gateway process and hollow gateways, the counts of the
// clients, the gateways and the stand-ins agree, and no attempt is over quota, since the
// customers of the groups use only 0.3 of their quotas.
func TestCountsOfBothEndsAgree(t *testing.T) {
	var log bytes.Buffer
	lab := newLab(t, &log, func(string) {})
	parsed, err := experiment.Read(writeExperiment(t, smallExperiment), "")
	if err != nil {
		t.Fatal(err)
	}
	report, err := lab.Run(t.Context(), "small.toml", parsed)
	if err != nil {
		t.Fatal(err)
	}
	if report.Partial || !report.Passed || len(report.Runs) != 1 || report.Seed != 7 {
		t.Fatalf("%+v\n%s", report, log.String())
	}
	metrics := report.Runs[0].Metrics
	sum := metrics["served_share"] + metrics["refused_share"] + metrics["failed_share"] + metrics["dropped"]/metrics["requests"]
	if sum < 0.9999 || sum > 1.0001 {
		t.Errorf("the shares of the requests add up to %g, want 1", sum)
	}
	for _, name := range []string{"requests", "served_share", "list_bytes", "memory_peak_mb", "counter_calls_per_request",
		"control_bytes_per_s", "backends_reached", "hollow_memory_mb"} {
		if metrics[name] <= 0 {
			t.Errorf("%s: got %g, want more than 0", name, metrics[name])
		}
	}
	if metrics["hollow_ready"] != 4 {
		t.Errorf("%g hollow gateways were ready, want 4", metrics["hollow_ready"])
	}
	made := 0.0
	unanswered := 0.0
	for name, group := range report.Runs[0].Groups {
		calls := group["calls_per_request"] * group["tries"]
		made += calls
		unanswered += calls * group["calls_unanswered_share"]
		if group["tries"] == 0 || group["beyond_share"] != 0 {
			t.Errorf("group %s: %v", name, group)
		}
	}
	received := metrics["hollow_counter_calls"]
	if len(report.Runs[0].Groups) != 2 || made == 0 || received > made+0.001 || received < made-unanswered-0.001 {
		t.Errorf("%g calls made, %g of them unanswered; the counter received %g", made, unanswered, received)
	}
	path := filepath.Join(t.TempDir(), "new", "report.json")
	if err := report.Write(path); err != nil {
		t.Fatal(err)
	}
	var decoded experiment.Report
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &decoded)
	}
	if err != nil || decoded.Commit == "" || len(decoded.Experiment.Groups) != 2 ||
		len(decoded.Runs[0].Metrics) != len(metrics) || len(decoded.Verdicts) != 1 {
		t.Errorf("%v: %+v", err, decoded)
	}
	var table bytes.Buffer
	report.Print(&table)
	for _, want := range []string{"quiet_control", "ready_s ", "calm ", "all-at-one ", "bounds: 1 kept, 0 broken"} {
		if has := strings.Contains(table.String(), want); has != (want != "quiet_control") {
			t.Errorf("%q in the table: %t\n%s", want, has, table.String())
		}
	}
}

// An interrupted experiment ends all processes that it started, reports the runs as partial,
// keeps the metrics measured before the interruption, and counts the bounds on missing metrics
// as broken.
func TestInterruptedRunIsPartial(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var log bytes.Buffer
	lab := newLab(t, &log, func(line string) {
		if strings.Contains(line, "msg=load") {
			cancel()
		}
	})
	long := strings.Replace(smallExperiment, "seconds = 2", "seconds = 3600", 1) +
		"[[bound]]\nfigure = \"tries\"\ngroup = \"calm\"\nleast = 1\n"
	parsed, err := experiment.Read(writeExperiment(t, long), "")
	if err != nil {
		t.Fatal(err)
	}
	report, err := lab.Run(ctx, "long.toml", parsed)
	if err != nil {
		t.Fatal(err)
	}
	reasons := fmt.Sprint(report.Runs[0].Partial)
	if !report.Partial || report.Passed || !strings.Contains(reasons, "real: ") || !strings.Contains(reasons, "hollow: not begun") {
		t.Errorf("partial %t, passed %t: %s", report.Partial, report.Passed, reasons)
	}
	if report.Runs[0].Metrics["list_bytes"] == 0 {
		t.Error("metrics that were measured before the interruption are missing")
	}
	if remaining := childProcesses(t); len(remaining) > 0 {
		t.Errorf("child processes that still run: %q", remaining)
	}
}

// childProcesses returns the process ids of this process's children.
func childProcesses(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil {
		t.Fatal(err)
	}
	var all []string
	for _, file := range files {
		text, _ := os.ReadFile(file) // a thread may have ended
		all = append(all, strings.Fields(string(text))...)
	}
	return all
}

// An invalid file or argument gives one line on stderr and exit status 2, before anything is started.
func TestUsageErrors(t *testing.T) {
	valid := writeExperiment(t, smallExperiment)
	for _, c := range []struct {
		args  []string
		named string
	}{
		{[]string{"run", writeExperiment(t, smallExperiment+"colour = 1\n")}, `"bound.colour"`},
		{[]string{"run", writeExperiment(t, smallExperiment+"[[bound]]\nfigure = \"speed\"\nmost = 1\n")}, `"speed"`},
		{[]string{"run", filepath.Join(t.TempDir(), "none.toml")}, "none.toml"},
		{[]string{"run"}, "file"},
		{[]string{"run", valid, "--colour"}, "--colour"},
		{[]string{"run", valid, "--baseline", t.TempDir()}, "balancer.toml"},
		{[]string{"sweep", valid}, "--over"},
		{[]string{"sweep", valid, "--over", "colour=1"}, `"colour"`},
		{[]string{"walk"}, "walk"},
	} {
		var stdout, stderr bytes.Buffer
		status := run(t.Context(), c.args, strings.NewReader(""), &stdout, &stderr)
		message := stderr.String()
		if status != 2 || stdout.Len() > 0 || strings.Count(message, "\n") != 1 || !strings.Contains(message, c.named) {
			t.Errorf("%q: status %d, message %q", c.args, status, message)
		}
	}
}

// An earlier version is built and started by the commands in its own deploy file, even if its gateway program has
// another name.
func TestBaselineIsBuiltAsItsDeployFileSays(t *testing.T) {
	dir := t.TempDir()
	deploy := "build = \"mkdir -p bin && echo old > bin/fleetlab && chmod +x bin/fleetlab\"\nrun = \"exec bin/earlier-name\"\n"
	if err := os.Mkdir(filepath.Join(dir, "deploy"), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "deploy", "balancer.toml"), []byte(deploy), 0o600); err != nil {
		t.Fatal(err)
	}
	version, err := baselineVersion(t.Context(), dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	want := experiment.Version{
		Name:     experiment.Baseline,
		Gateway:  gatewayprocess.Program{Command: "exec bin/earlier-name", Dir: dir},
		Fleetlab: filepath.Join(dir, "bin", "fleetlab"),
	}
	if version != want {
		t.Errorf("got %+v, want %+v", version, want)
	}
}
