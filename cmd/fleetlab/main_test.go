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

// asCommand makes the test binary stand in for the command, also as the child
// that holds hollow gateways.
const asCommand = "FLEETLAB_AS_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(asCommand) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const small = `
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

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "small.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// lab returns one whose gateway is built of this checkout and whose hollow
// gateways live in this test binary.
func lab(t *testing.T, log *bytes.Buffer, watch func(line string)) *experiment.Lab {
	t.Helper()
	dir := t.TempDir()
	if said, err := exec.Command("go", "build", "-o", dir, "../amberlb").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, said)
	}
	t.Setenv(asCommand, "1")
	return &experiment.Lab{Root: ".", Log: slog.New(slog.NewTextHandler(watcher{log, watch}, nil)),
		Versions: []experiment.Version{{Name: experiment.Candidate, Gateway: gatewayprocess.Program{Command: "exec ./amberlb", Dir: dir},
			Fleetlab: os.Args[0]}}}
}

// watcher keeps the log and shows each line.
type watcher struct {
	kept  *bytes.Buffer
	watch func(line string)
}

func (w watcher) Write(p []byte) (int, error) {
	w.watch(string(p))
	return w.kept.Write(p)
}

// A small experiment with a real gateway and hollow ones: what is counted at both
// ends agrees, and nothing goes beyond a quota that is hardly used.
func TestSmallExperiment(t *testing.T) {
	var log bytes.Buffer
	l := lab(t, &log, func(string) {})
	e, err := experiment.Read(write(t, small), "")
	if err != nil {
		t.Fatal(err)
	}
	r, err := l.Run(t.Context(), "small.toml", e)
	if err != nil {
		t.Fatal(err)
	}
	if r.Partial || !r.Passed || len(r.Runs) != 1 || r.Seed != 7 {
		t.Fatalf("%+v\n%s", r, log.String())
	}
	f := r.Runs[0].Metrics
	if sum := f["served_share"] + f["refused_share"] + f["failed_share"] + f["dropped"]/f["requests"]; sum < 0.9999 || sum > 1.0001 {
		t.Errorf("shares of the requests sum up to %g", sum)
	}
	for _, name := range []string{"requests", "served_share", "list_bytes", "memory_peak_mb", "counter_calls_per_request",
		"control_bytes_per_s", "backends_reached", "hollow_memory_mb"} {
		if f[name] <= 0 {
			t.Errorf("%s: %g", name, f[name])
		}
	}
	if f["hollow_ready"] != 4 {
		t.Errorf("%g hollow gateways were ready", f["hollow_ready"])
	}
	made, unanswered := 0.0, 0.0
	for name, g := range r.Runs[0].Groups {
		calls := g["calls_per_request"] * g["tries"]
		made, unanswered = made+calls, unanswered+calls*g["calls_unanswered_share"]
		if g["tries"] == 0 || g["beyond_share"] != 0 {
			t.Errorf("group %s: %v", name, g)
		}
	}
	if had := f["hollow_counter_calls"]; len(r.Runs[0].Groups) != 2 || made == 0 || had > made+0.001 || had < made-unanswered-0.001 {
		t.Errorf("%g calls made, %g of them unanswered; the counter had %g", made, unanswered, had)
	}
	path := filepath.Join(t.TempDir(), "new", "report.json")
	if err := r.Write(path); err != nil {
		t.Fatal(err)
	}
	var back experiment.Report
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &back)
	}
	if err != nil || back.Commit == "" || len(back.Experiment.Groups) != 2 || len(back.Runs[0].Metrics) != len(f) || len(back.Verdicts) != 1 {
		t.Errorf("%v: %+v", err, back)
	}
	var table bytes.Buffer
	r.Print(&table)
	for _, want := range []string{"quiet_control", "ready_s ", "calm ", "all-at-one ", "bounds: 1 kept, 0 broken"} {
		if has := strings.Contains(table.String(), want); has != (want != "quiet_control") {
			t.Errorf("%q in the table: %t\n%s", want, has, table.String())
		}
	}
}

// An interrupted run ends what it started and says what is partial; the bounds on
// what it did not measure are not kept.
func TestInterrupted(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var log bytes.Buffer
	l := lab(t, &log, func(line string) {
		if strings.Contains(line, "msg=load") {
			cancel()
		}
	})
	long := strings.Replace(small, "seconds = 2", "seconds = 3600", 1) + "[[bound]]\nfigure = \"tries\"\ngroup = \"calm\"\nleast = 1\n"
	e, err := experiment.Read(write(t, long), "")
	if err != nil {
		t.Fatal(err)
	}
	r, err := l.Run(ctx, "long.toml", e)
	if err != nil {
		t.Fatal(err)
	}
	said := fmt.Sprint(r.Runs[0].Partial)
	if !r.Partial || r.Passed || !strings.Contains(said, "real: ") || !strings.Contains(said, "hollow: not begun") {
		t.Errorf("partial %t, kept %t: %s", r.Partial, r.Passed, said)
	}
	if r.Runs[0].Metrics["list_bytes"] == 0 {
		t.Error("what was measured before is gone")
	}
	if left := children(t); len(left) > 0 {
		t.Errorf("processes are left: %q", left)
	}
}

// children are the commands of this process's children.
func children(t *testing.T) []string {
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

// A bad file or argument is one plain line and status 2, before anything starts.
func TestBadUse(t *testing.T) {
	good := write(t, small)
	for _, c := range []struct {
		args  []string
		named string
	}{
		{[]string{"run", write(t, small+"colour = 1\n")}, `"bound.colour"`},
		{[]string{"run", write(t, small+"[[bound]]\nfigure = \"speed\"\nmost = 1\n")}, `"speed"`},
		{[]string{"run", filepath.Join(t.TempDir(), "none.toml")}, "none.toml"},
		{[]string{"run"}, "file"},
		{[]string{"run", good, "--colour"}, "--colour"},
		{[]string{"run", good, "--baseline", t.TempDir()}, "balancer.toml"},
		{[]string{"sweep", good}, "--over"},
		{[]string{"sweep", good, "--over", "colour=1"}, `"colour"`},
		{[]string{"walk"}, "walk"},
	} {
		var out, errs bytes.Buffer
		status := run(t.Context(), c.args, strings.NewReader(""), &out, &errs)
		if said := errs.String(); status != 2 || out.Len() > 0 || strings.Count(said, "\n") != 1 || !strings.Contains(said, c.named) {
			t.Errorf("%q: status %d, said %q", c.args, status, said)
		}
	}
}

// An earlier version is built and started as its own deploy file says, whatever its programs are called.
func TestBaselineGoesByItsDeployFile(t *testing.T) {
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
	want := experiment.Version{Name: experiment.Baseline, Gateway: gatewayprocess.Program{Command: "exec bin/earlier-name", Dir: dir},
		Fleetlab: filepath.Join(dir, "bin", "fleetlab")}
	if version != want {
		t.Errorf("got %+v, want %+v", version, want)
	}
}
