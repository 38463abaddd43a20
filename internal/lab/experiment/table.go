package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Print prints the main figures, a column for each run, then the groups, the
// slopes of a sweep, and the bounds.
func (r *Report) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	row := func(cells ...string) { fmt.Fprintln(w, strings.Join(cells, "\t")) }

	heads := []string{"figure"}
	for _, run := range r.Runs {
		heads = append(heads, run.label(r))
	}
	row(heads...)
	for _, f := range metrics {
		if !f.primary || f.perGroup {
			continue
		}
		cells, any := []string{f.name}, false
		for _, run := range r.Runs {
			value, measured := run.Metrics[f.name]
			any = any || measured
			cells = append(cells, formatNumber(value, measured))
		}
		if any {
			row(cells...)
		}
	}
	for _, run := range r.Runs {
		if len(run.Groups) == 0 {
			continue
		}
		row()
		heads := []string{"group, " + run.label(r)}
		for _, f := range metrics {
			if f.perGroup && f.primary {
				heads = append(heads, f.name)
			}
		}
		row(heads...)
		for _, name := range slices.Sorted(maps.Keys(run.Groups)) {
			cells := []string{name}
			for _, f := range metrics {
				if f.perGroup && f.primary {
					value, measured := run.Groups[name][f.name]
					cells = append(cells, formatNumber(value, measured))
				}
			}
			row(cells...)
		}
	}
	r.printSlopes(row)
	r.printBounds(row)
}

func (r *Report) printSlopes(row func(...string)) {
	if len(r.Slopes) == 0 {
		return
	}
	row()
	row("slope over "+r.Runs[0].Key, "version", "group", "each", "from", "r2")
	for _, s := range r.Slopes {
		if slices.ContainsFunc(metrics, func(f metric) bool { return f.name == s.Metric && f.perGroup == (s.Group != "") && f.primary }) {
			row(s.Metric, s.Version, s.Group, formatNumber(s.Slope, true), formatNumber(s.Intercept, true), formatNumber(s.R2, true))
		}
	}
}

// printBounds prints the bounds that were broken, how many were kept, and what is
// partial.
func (r *Report) printBounds(row func(...string)) {
	limit := func(b *float64) string {
		if b == nil {
			return ""
		}
		return formatNumber(*b, true)
	}
	broken := 0
	for _, v := range r.Verdicts {
		if v.Passed {
			continue
		}
		if broken++; broken == 1 {
			row()
			row("broken bound", "group", "at", "most", "least", "got")
		}
		got, at := "not measured", ""
		if v.Measured != nil {
			got = formatNumber(*v.Measured, true)
		}
		if r.Experiment.Sweep != "" {
			at = formatNumber(v.Value, true)
		}
		row(v.Metric, v.Group, at, limit(v.Max), limit(v.Min), got)
	}
	row()
	row(fmt.Sprintf("bounds: %d kept, %d broken", len(r.Verdicts)-broken, broken))
	for _, run := range r.Runs {
		for _, why := range run.Partial {
			row("PARTIAL: " + run.label(r) + ": " + why)
		}
	}
}

// label names a run among those of its report.
func (run *Run) label(r *Report) string {
	var words []string
	if run.Key != "" {
		words = append(words, run.Key+"="+formatNumber(run.Value, true))
	}
	if r.Baseline != "" || len(words) == 0 {
		words = append(words, run.Version)
	}
	return strings.Join(words, " ")
}

// formatNumber prints three figures, more only of what is above 999.
func formatNumber(v float64, measured bool) string {
	if !measured {
		return "-"
	}
	if v >= 1000 || v <= -1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
