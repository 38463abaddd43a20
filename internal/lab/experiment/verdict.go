package experiment

import (
	"maps"
	"slices"
)

// Verdict says whether a run kept a bound.
type Verdict struct {
	Bound
	Value    float64  `json:"value"`         // value of the swept key
	Measured *float64 `json:"got,omitempty"` // nil: the metric was not measured, so the bound is not kept
	Passed   bool     `json:"kept"`
}

// evaluateBounds evaluates the bounds for each run of the candidate.
func evaluateBounds(bounds []Bound, runs []Run) []Verdict {
	var verdicts []Verdict
	for i := range runs {
		if runs[i].Version != Candidate {
			continue
		}
		for _, b := range bounds {
			verdicts = append(verdicts, b.evaluateRun(&runs[i])...)
		}
	}
	return verdicts
}

// evaluateRun evaluates the bound for a run. If Group is set, it returns a verdict for each matching group. If no
// matching group was measured, it returns a single verdict, which says that the bound is not kept.
func (b Bound) evaluateRun(run *Run) []Verdict {
	if b.Group == "" {
		return []Verdict{b.evaluate(run.Value, run.Metrics)}
	}
	var verdicts []Verdict
	for _, name := range slices.Sorted(maps.Keys(run.Groups)) {
		if b.matches(name) {
			groupBound := b
			groupBound.Group = name
			verdicts = append(verdicts, groupBound.evaluate(run.Value, run.Groups[name]))
		}
	}
	if len(verdicts) == 0 {
		verdicts = append(verdicts, b.evaluate(run.Value, nil))
	}
	return verdicts
}

// evaluate evaluates the bound for the metrics of a run or a group. The parameter value is the value of the
// swept key.
func (b Bound) evaluate(value float64, metrics Metrics) Verdict {
	verdict := Verdict{Bound: b, Value: value}
	if measured, ok := metrics[b.Metric]; ok {
		verdict.Measured = &measured
		verdict.Passed = (b.Max == nil || measured <= *b.Max) && (b.Min == nil || measured >= *b.Min)
	}
	return verdict
}
