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

// validExperiment is the text of a valid experiment file.
const validExperiment = `
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

// writeExperiment writes an experiment to a temporary file and returns its path.
func writeExperiment(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "test.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The error for an invalid experiment file or sweep is one line that names the invalid key.
func TestReadErrorNamesTheKey(t *testing.T) {
	if _, err := Read(writeExperiment(t, validExperiment), ""); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		old   string // text in validExperiment
		new   string // text that replaces old
		sweep string
		named string // text that the error must contain
	}{
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
		_, err := Read(writeExperiment(t, strings.Replace(validExperiment, c.old, c.new, 1)), c.sweep)
		if err == nil || !strings.Contains(err.Error(), c.named) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q instead of %q, sweep %q: got %v, want one line with %s", c.new, c.old, c.sweep, err, c.named)
		}
	}
}

// The experiment files in the directory lab are valid.
func TestExperimentFilesOfTheLabAreValid(t *testing.T) {
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

// readPoints reads an experiment and returns the experiments at the points of its sweep.
func readPoints(t *testing.T, text, sweep string) []Experiment {
	t.Helper()
	e, err := Read(writeExperiment(t, text), sweep)
	if err != nil {
		t.Fatal(err)
	}
	_, points, err := e.sweepPoints()
	if err != nil {
		t.Fatal(err)
	}
	return points
}

// Each point of a sweep changes only the swept key, and does not affect the other points.
func TestSweepChangesItsKeyAlone(t *testing.T) {
	points := readPoints(t, validExperiment, "spread=1,4")
	if len(points) != 2 {
		t.Fatalf("%d points", len(points))
	}
	for i, size := range []int{1, 4} {
		e := &points[i]
		if len(e.Groups) != 1 {
			t.Errorf("at %d: %+v", size, e)
			continue
		}
		group := &e.Groups[0]
		if group.SubsetSize != size || group.Name != fmt.Sprint("calm-", size) || group.Gateways != size ||
			e.Tenants.SubsetSize != size || e.Backends.Count != 10 || e.Fleet.Gateways != 2+size {
			t.Errorf("at %d: %+v", size, e)
		}
	}
}

// A gateway can parse the settings, and the plans in them have the quotas that follow from
// the rates and utilizations in the experiment.
func TestSettingsStateTheQuotas(t *testing.T) {
	e := readPoints(t, validExperiment, "")[0]
	text, err := e.settings(1)
	if err != nil {
		t.Fatal(err)
	}
	deployment, err := wire.ParseDeployment(text)
	if err != nil {
		t.Fatal(err)
	}
	if deployment.GatewayIndex != 1 || deployment.FleetSize != 9 || deployment.HasCounter || deployment.MaxUnits != 2 {
		t.Errorf("%+v", deployment.Settings)
	}
	plan := deployment.Plans[0]
	if deployment.PlanNames[0] != "calm-2" || plan.Rate != 8 || plan.Burst != 24 {
		t.Errorf("plan of the first group: %s, %+v", deployment.PlanNames[0], plan)
	}
	quotas := map[string]float64{}
	for i, name := range deployment.PlanNames {
		quotas[name] = deployment.Plans[i].Rate
	}
	tenants, _ := e.tenants()
	zipfSum := 0.0
	for i := range tenants {
		zipfSum += 1 / float64(i+1)
	}
	total := 0.0
	for i, tenant := range tenants {
		rate := 20 / zipfSum / float64(i+1)
		total += rate
		if utilization := rate / quotas[tenant.Plan]; utilization > 0.5+1e-9 || utilization <= 0.25 {
			t.Errorf("tenant %d uses %g of its quota", i, utilization)
		}
		if tenant.FirstGateway+tenant.SubsetSize > 2 || tenant.ID >= 1<<33 {
			t.Errorf("tenant %+v", tenant)
		}
	}
	if math.Abs(total-20) > 1e-6 {
		t.Errorf("%g requests a second in total, want 20", total)
	}
}

// Each hollow gateway runs in exactly one process, and all gateways of a group run in the same process.
func TestGroupsAreNotSplitOverProcesses(t *testing.T) {
	for _, processes := range []int{1, 2, 7} {
		fleet := fmt.Sprintf("real = 2\nhollow = 12\nprocesses = %d", processes)
		e := readPoints(t, strings.Replace(validExperiment, "real = 2", fleet, 1), "")[0]
		nextRank := 2
		nextGroup := 0
		for _, job := range e.hollowJobs() {
			groupGateways := 0
			for _, g := range e.Groups[job.firstGroup : job.firstGroup+job.groupCount] {
				groupGateways += g.Gateways
			}
			if job.firstRank != nextRank || job.gateways < 1 ||
				job.groupCount > 0 && (job.firstGroup != nextGroup || groupGateways != job.gateways) {
				t.Errorf("%d processes: job %+v, next rank %d", processes, job, nextRank)
			}
			nextRank = job.firstRank + job.gateways
			nextGroup += job.groupCount
		}
		if nextRank != 14 || nextGroup != 2 || len(e.hollowJobs()) > 2*processes {
			t.Errorf("%d processes: the jobs end at rank %d and have %d groups", processes, nextRank, nextGroup)
		}
	}
}

// leastSquares computes the line and R2, and reports that there is no line if all x are equal.
func TestLeastSquares(t *testing.T) {
	line, ok := leastSquares([]float64{1, 2, 4}, []float64{5, 7, 11})
	if !ok || math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.Intercept-3) > 1e-9 || math.Abs(line.R2-1) > 1e-9 ||
		line.Points != 3 {
		t.Errorf("%+v", line)
	}
	line, _ = leastSquares([]float64{0, 1, 2, 3}, []float64{0, 2, 1, 3})
	if math.Abs(line.Slope-0.8) > 1e-9 || math.Abs(line.R2-0.64) > 1e-9 {
		t.Errorf("%+v", line)
	}
	line, ok = leastSquares([]float64{3, 3}, []float64{1, 2})
	if ok {
		t.Errorf("got a line through points of equal x: %+v", line)
	}
}

// A bound applies to each run of the candidate and to each matching group, and is broken if
// its metric was not measured.
func TestBoundsApplyToTheCandidate(t *testing.T) {
	limit := 1.0
	bounds := []Bound{{Metric: "ready_s", Max: &limit}, {Metric: "tries", Group: "a*", Min: &limit}}
	runs := []Run{
		{Version: Baseline, Metrics: Metrics{"ready_s": 9}, Groups: map[string]Metrics{"a1": {}}},
		{
			Version: Candidate,
			Value:   1,
			Metrics: Metrics{"ready_s": 1},
			Groups:  map[string]Metrics{"a1": {"tries": 1}, "a2": {"tries": 0}, "b": {}},
		},
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
