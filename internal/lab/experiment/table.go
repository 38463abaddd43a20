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

// table writes rows of cells. Flushing the writer aligns the columns.
type table struct{ writer *tabwriter.Writer }

// writeRow writes a row of cells. Without cells, it writes an empty line.
func (t table) writeRow(cells ...string) { fmt.Fprintln(t.writer, strings.Join(cells, "\t")) }

// Print prints the primary metrics with a column for each run, then the metrics of the
// groups, the slopes of a sweep, the broken bounds, and the reasons why runs are partial.
func (r *Report) Print(out io.Writer) {
	t := table{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	defer t.writer.Flush()
	r.printRunMetrics(t)
	for i := range r.Runs {
		r.printGroupMetrics(t, &r.Runs[i])
	}
	r.printSlopes(t)
	r.printBounds(t)
	r.printPartial(t)
}

// printRunMetrics prints a row for each primary metric that was measured in at least one run.
func (r *Report) printRunMetrics(t table) {
	header := []string{"figure"}
	for i := range r.Runs {
		header = append(header, r.label(&r.Runs[i]))
	}
	t.writeRow(header...)
	for _, m := range primaryMetrics(false) {
		cells := []string{m.name}
		measuredAtAll := false
		for _, run := range r.Runs {
			value, measured := run.Metrics[m.name]
			measuredAtAll = measuredAtAll || measured
			cells = append(cells, formatMetric(value, measured))
		}
		if measuredAtAll {
			t.writeRow(cells...)
		}
	}
}

// printGroupMetrics prints the primary metrics of a run's groups, with a row for each group.
func (r *Report) printGroupMetrics(t table, run *Run) {
	if len(run.Groups) == 0 {
		return
	}
	t.writeRow()
	header := []string{"group, " + r.label(run)}
	for _, m := range primaryMetrics(true) {
		header = append(header, m.name)
	}
	t.writeRow(header...)
	for _, name := range slices.Sorted(maps.Keys(run.Groups)) {
		cells := []string{name}
		for _, m := range primaryMetrics(true) {
			value, measured := run.Groups[name][m.name]
			cells = append(cells, formatMetric(value, measured))
		}
		t.writeRow(cells...)
	}
}

// printSlopes prints the slopes of the primary metrics.
func (r *Report) printSlopes(t table) {
	if len(r.Slopes) == 0 {
		return
	}
	t.writeRow()
	t.writeRow("slope over "+r.Runs[0].Key, "version", "group", "each", "from", "r2")
	for i := range r.Slopes {
		s := &r.Slopes[i]
		if s.isPrimary() {
			t.writeRow(s.Metric, s.Version, s.Group, formatNumber(s.Slope), formatNumber(s.Intercept), formatNumber(s.R2))
		}
	}
}

// printBounds prints the broken bounds, and how many bounds were kept and broken.
func (r *Report) printBounds(t table) {
	broken := 0
	for i := range r.Verdicts {
		if r.Verdicts[i].Passed {
			continue
		}
		broken++
		if broken == 1 {
			t.writeRow()
			t.writeRow("broken bound", "group", "at", "most", "least", "got")
		}
		r.printBroken(t, &r.Verdicts[i])
	}
	t.writeRow()
	t.writeRow(fmt.Sprintf("bounds: %d kept, %d broken", len(r.Verdicts)-broken, broken))
}

// printBroken prints a broken bound.
func (r *Report) printBroken(t table, v *Verdict) {
	measured := "not measured"
	if v.Measured != nil {
		measured = formatNumber(*v.Measured)
	}
	at := ""
	if r.Experiment.Sweep != "" {
		at = formatNumber(v.Value)
	}
	t.writeRow(v.Metric, v.Group, at, formatLimit(v.Max), formatLimit(v.Min), measured)
}

// printPartial prints the reasons why runs are partial.
func (r *Report) printPartial(t table) {
	for i := range r.Runs {
		for _, reason := range r.Runs[i].Partial {
			t.writeRow("PARTIAL: " + r.label(&r.Runs[i]) + ": " + reason)
		}
	}
}

// label returns a heading that distinguishes a run from the other runs of the report: the value of the swept key, the
// version, or both.
func (r *Report) label(run *Run) string {
	var words []string
	if run.Key != "" {
		words = append(words, run.Key+"="+formatNumber(run.Value))
	}
	if r.Baseline != "" || len(words) == 0 {
		words = append(words, run.Version)
	}
	return strings.Join(words, " ")
}

// formatMetric formats the value of a metric. It returns "-" if the metric was not measured.
func formatMetric(value float64, measured bool) string {
	if !measured {
		return "-"
	}
	return formatNumber(value)
}

// formatLimit formats a limit of a bound. It returns "" if the bound does not set the limit.
func formatLimit(limit *float64) string {
	if limit == nil {
		return ""
	}
	return formatNumber(*limit)
}

// formatNumber formats a number with three significant digits, and as an integer if its absolute value is at least 1000.
func formatNumber(value float64) string {
	if value >= 1000 || value <= -1000 {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'g', 3, 64)
}
