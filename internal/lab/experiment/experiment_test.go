package experiment

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"amberlb/internal/wire"
)

// sound is an experiment that could be run.
const sound = `
shows = "a test"
seconds = 1
[fleet]
real = 2
[backends]
count = 10
[tenants]
count = 100
zipf = 1
per_gateway = 10
use = 0.5
burst_s = 3
[[group]]
name = "calm"
spreads = [2, 5]
customers = 3
per_second = 2
units = 2
use = 0.5
burst_s = 3
[[bound]]
figure = "calls_per_request"
group = "calm-*"
most = 0.1
`

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "test.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Whoever writes an experiment is told in one line which key is wrong.
func TestReadNamesTheKey(t *testing.T) {
	if _, err := Read(write(t, sound), ""); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, over, named string }{
		{"real = 2", "real = 2\nhelow = 3", "", `line 6: unknown key "fleet.helow"`},
		{"use = 0.5\nburst_s = 3\n[[bound]]", "used = 1\n[[bound]]", "", `unknown key "group.used"`},
		{"real = 2", `real = "two"`, "", `"fleet.real"`},
		{"seconds = 1", "seconds = 1 1", "", "line 3"},
		{`shows = "a test"`, "", "", "shows"},
		{"seconds = 1", "seconds = nan", "", "seconds"},
		{"count = 10\n", "count = 0\n", "", "backends.count"},
		{"real = 2", "real = 2\ngateways = 3", "", "fleet.gateways"},
		{"real = 2", "real = 200\nmemory_mb = 16\nhollow = 300\nprocesses = 250", "", "fleet.processes"},
		{"real = 2", "real = 2\nmemory_mb = 100000000", "", "MB"},
		{"customers = 3", "customers = 0", "", `group "calm-2": customers`},
		{`name = "calm"`, "", "", `"-2"`},
		{`figure = "calls_per_request"`, `figure = "calls"`, "", `"calls"`},
		{`group = "calm-*"`, `group = "busy-*"`, "", `"busy-*"`},
		{`group = "calm-*"`, ``, "", `no figure of a run is named "calls_per_request"`},
		{"most = 0.1", "", "", `bound "calls_per_request"`},
		{"", "", "backends=10,many", `"many"`},
		{"", "", "colour=1", `"colour"`},
		{"", "", "backends", `"backends"`},
		{"", "", "backends=10,0", "backends=0"},
	} {
		_, err := Read(write(t, strings.Replace(sound, c.old, c.new, 1)), c.over)
		if err == nil || !strings.Contains(err.Error(), c.named) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q, over %q: %v; %s should be named in one line", c.new, c.old, c.over, err, c.named)
		}
	}
}

// Those that are handed out can be run.
func TestExperimentsOfTheLab(t *testing.T) {
	files, err := filepath.Glob("../../../lab/*.toml")
	if err != nil || len(files) < 6 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, file := range files {
		if _, err := Read(file, ""); err != nil {
			t.Error(err)
		}
	}
}

func read(t *testing.T, text, over string) []Experiment {
	t.Helper()
	e, err := Read(write(t, text), over)
	if err != nil {
		t.Fatal(err)
	}
	_, points, err := e.sweepPoints()
	if err != nil {
		t.Fatal(err)
	}
	return points
}

// A sweep changes its key alone, and each point without a trace of the last.
func TestSweepPoints(t *testing.T) {
	points := read(t, sound, "spread=1,4")
	if len(points) != 2 {
		t.Fatalf("%d points", len(points))
	}
	for i, spread := range []int{1, 4} {
		e := &points[i]
		if len(e.Groups) != 1 || e.Groups[0].SubsetSize != spread || e.Groups[0].Name != fmt.Sprint("calm-", spread) || e.Groups[0].Gateways != spread || e.Tenants.SubsetSize != spread ||
			e.Backends.Count != 10 || e.Fleet.Gateways != 2+spread {
			t.Errorf("at %d: %+v", spread, e)
		}
	}
}

// Gateways can read the settings, and the plans in them are the quotas that the
// experiment states.
func TestSettings(t *testing.T) {
	e := read(t, sound, "")[0]
	text, err := e.settings(1)
	if err != nil {
		t.Fatal(err)
	}
	d, err := wire.ParseDeployment(text)
	if err != nil {
		t.Fatal(err)
	}
	if d.GatewayIndex != 1 || d.FleetSize != 9 || d.Counter || d.MaxUnits != 2 {
		t.Errorf("%+v", d.Settings)
	}
	if p := d.Plans[0]; d.PlanNames[0] != "calm-2" || p.Rate != 8 || p.Burst != 24 {
		t.Errorf("plan of the first group: %s, %+v", d.PlanNames[0], p)
	}
	tenants, _ := e.tenants()
	rates, asked := map[string]float64{}, 0.0
	for i, name := range d.PlanNames {
		rates[name] = d.Plans[i].Rate
	}
	sum := 0.0
	for i := range tenants {
		sum += 1 / float64(i+1)
	}
	for i, tenant := range tenants {
		rate := 20 / sum / float64(i+1)
		asked += rate
		if use := rate / rates[tenant.Plan]; use > 0.5+1e-9 || use <= 0.25 {
			t.Errorf("tenant %d asks for %g of its quota", i, use)
		}
		if tenant.FirstGateway+tenant.SubsetSize > 2 || tenant.ID >= 1<<33 {
			t.Errorf("tenant %+v", tenant)
		}
	}
	if math.Abs(asked-20) > 1e-6 {
		t.Errorf("%g requests a second in all", asked)
	}
}

// Every hollow gateway is in one process, and a group in one as a whole.
func TestJobs(t *testing.T) {
	for _, processes := range []int{1, 2, 7} {
		e := read(t, strings.Replace(sound, "real = 2", fmt.Sprintf("real = 2\nhollow = 12\nprocesses = %d", processes), 1), "")[0]
		next, groups := 2, 0
		for _, j := range e.hollowJobs() {
			in := 0
			for _, g := range e.Groups[j.firstGroup : j.firstGroup+j.groupCount] {
				in += g.Gateways
			}
			if j.firstRank != next || j.gateways < 1 || j.groupCount > 0 && (j.firstGroup != groups || in != j.gateways) {
				t.Errorf("%d processes: %+v after %d", processes, j, next)
			}
			next, groups = j.firstRank+j.gateways, groups+j.groupCount
		}
		if next != 14 || groups != 2 || len(e.hollowJobs()) > 2*processes {
			t.Errorf("%d processes: up to %d, %d groups", processes, next, groups)
		}
	}
}

func TestFit(t *testing.T) {
	s, ok := leastSquares([]float64{1, 2, 4}, []float64{5, 7, 11})
	if !ok || math.Abs(s.Slope-2) > 1e-9 || math.Abs(s.Intercept-3) > 1e-9 || math.Abs(s.R2-1) > 1e-9 || s.Points != 3 {
		t.Errorf("%+v", s)
	}
	if s, _ = leastSquares([]float64{0, 1, 2, 3}, []float64{0, 2, 1, 3}); math.Abs(s.Slope-0.8) > 1e-9 || math.Abs(s.R2-0.64) > 1e-9 {
		t.Errorf("%+v", s)
	}
	if s, ok = leastSquares([]float64{3, 3}, []float64{1, 2}); ok {
		t.Errorf("through one value: %+v", s)
	}
}

// A bound binds this version at every point and in every group that it names, and
// what was not measured keeps none.
func TestVerdicts(t *testing.T) {
	limit := 1.0
	bounds := []Bound{{Metric: "ready_s", Max: &limit}, {Metric: "tries", Group: "a*", Min: &limit}}
	runs := []Run{
		{Version: Baseline, Metrics: Metrics{"ready_s": 9}, Groups: map[string]Metrics{"a1": {}}},
		{Version: Candidate, Value: 1, Metrics: Metrics{"ready_s": 1}, Groups: map[string]Metrics{"a1": {"tries": 1}, "a2": {"tries": 0}, "b": {}}},
		{Version: Candidate, Value: 2, Metrics: Metrics{}},
	}
	var got []string
	for _, v := range evaluateBounds(bounds, runs) {
		got = append(got, fmt.Sprintf("%g %s %s %t %t", v.Value, v.Metric, v.Group, v.Measured != nil, v.Passed))
	}
	want := "1 ready_s  true true,1 tries a1 true true,1 tries a2 true false,2 ready_s  false false,2 tries a* false false"
	if text := strings.Join(got, ","); text != want {
		t.Errorf("%s\nwant %s", text, want)
	}
}
