package experiment

import (
	"maps"
	"path"
	"slices"
	"time"
)

// Candidate and Baseline name the versions of the programs that a report compares.
// Bounds bind After alone.
const (
	Candidate = "after"
	Baseline  = "before"
)

// Report is all that an experiment gave.
type Report struct {
	File       string     `json:"file"`
	Experiment Experiment `json:"experiment"` // as it was read it
	Seed       uint64     `json:"seed"`
	Commit     string     `json:"commit"`             // of this version; "unknown" outside a repository
	Baseline   string     `json:"baseline,omitempty"` // directory of the earlier version's programs
	Started    time.Time  `json:"started"`
	DurationS  float64    `json:"took_s"`
	Machine    Machine    `json:"machine"`
	Partial    bool       `json:"partial"` // something was not measured to its end; the runs say what
	Passed     bool       `json:"kept"`    // all bounds were
	Runs       []Run      `json:"runs"`
	Slopes     []Slope    `json:"slopes,omitempty"`
	Verdicts   []Verdict  `json:"bounds,omitempty"`
}

// Machine is what the experiment ran on.
type Machine struct {
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Load     string  `json:"load"` // the kernel's load averages at the start
}

// Run is one version at one point of a sweep.
type Run struct {
	Version string             `json:"version"`
	Key     string             `json:"key,omitempty"` // what was swept, and its value here
	Value   float64            `json:"value"`
	Metrics Metrics            `json:"figures"`
	Groups  map[string]Metrics `json:"groups,omitempty"`
	Partial []string           `json:"partial,omitempty"` // what was not measured to its end, and why
}

// Verdict is a bound at one run.
type Verdict struct {
	Bound
	Value    float64  `json:"value"`         // of what was swept
	Measured *float64 `json:"got,omitempty"` // nil: not measured, and so not kept
	Passed   bool     `json:"kept"`
}

// evaluateBounds holds the bounds against the runs of this version, each group on its own.
func evaluateBounds(bounds []Bound, runs []Run) []Verdict {
	var verdicts []Verdict
	for _, r := range runs {
		if r.Version != Candidate {
			continue
		}
		for _, b := range bounds {
			if b.Group == "" {
				verdicts = append(verdicts, b.evaluate(r.Value, r.Metrics))
				continue
			}
			matched := 0
			for _, name := range slices.Sorted(maps.Keys(r.Groups)) {
				if ok, _ := path.Match(b.Group, name); ok {
					one := b
					one.Group = name
					verdicts = append(verdicts, one.evaluate(r.Value, r.Groups[name]))
					matched++
				}
			}
			if matched == 0 {
				verdicts = append(verdicts, b.evaluate(r.Value, nil))
			}
		}
	}
	return verdicts
}

func (b Bound) evaluate(value float64, f Metrics) Verdict {
	v := Verdict{Bound: b, Value: value}
	if got, measured := f[b.Metric]; measured {
		v.Measured = &got
		v.Passed = (b.Max == nil || got <= *b.Max) && (b.Min == nil || got >= *b.Min)
	}
	return v
}

// Slope is a line through a figure's values at the points of a sweep, by least
// squares: figure = Intercept + Slope x value.
type Slope struct {
	Version   string  `json:"version"`
	Metric    string  `json:"figure"`
	Group     string  `json:"group,omitempty"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r2"` // share of the figure's variance that the line explains
	Points    int     `json:"points"`
}

// fitSlopes fits every figure that was measured at two values or more.
func fitSlopes(runs []Run) []Slope {
	var all []Slope
	for _, version := range []string{Baseline, Candidate} {
		for _, f := range metrics {
			points := map[string][2][]float64{} // by group: values, figures
			for _, r := range runs {
				if r.Version != version {
					continue
				}
				scopes := r.Groups
				if !f.perGroup {
					scopes = map[string]Metrics{"": r.Metrics}
				}
				for group, scope := range scopes {
					if y, measured := scope[f.name]; measured {
						p := points[group]
						points[group] = [2][]float64{append(p[0], r.Value), append(p[1], y)}
					}
				}
			}
			for _, group := range slices.Sorted(maps.Keys(points)) {
				if s, ok := leastSquares(points[group][0], points[group][1]); ok {
					s.Version, s.Metric, s.Group = version, f.name, group
					all = append(all, s)
				}
			}
		}
	}
	return all
}

// leastSquares is the line through the points; there is none through a single value.
func leastSquares(xs, ys []float64) (Slope, bool) {
	n := float64(len(xs))
	var mx, my, xx, xy, yy float64
	for i := range xs {
		mx, my = mx+xs[i]/n, my+ys[i]/n
	}
	for i := range xs {
		dx, dy := xs[i]-mx, ys[i]-my
		xx, xy, yy = xx+dx*dx, xy+dx*dy, yy+dy*dy
	}
	if xx == 0 {
		return Slope{}, false
	}
	s := Slope{Slope: xy / xx, R2: 1, Points: len(xs)}
	s.Intercept = my - s.Slope*mx
	if yy > 0 {
		s.R2 = xy * xy / (xx * yy)
	}
	return s, true
}
