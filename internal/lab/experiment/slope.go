package experiment

import (
	"maps"
	"slices"
)

// Slope is a least-squares line through the values of a metric at the points of a sweep:
// metric = Intercept + Slope x value of the swept key.
type Slope struct {
	Version   string  `json:"version"`
	Metric    string  `json:"figure"`
	Group     string  `json:"group,omitempty"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r2"` // share of the metric's variance that the line explains
	Points    int     `json:"points"`
}

// isPrimary reports whether the metric of the slope is printed in the table.
func (s *Slope) isPrimary() bool {
	perGroup := s.Group != ""
	return slices.ContainsFunc(primaryMetrics(perGroup), func(m metric) bool { return m.name == s.Metric })
}

// points pairs the values of the swept key with the values of a metric.
type points struct {
	xs []float64 // values of the swept key
	ys []float64 // values of the metric
}

// fitSlopes fits a line to every metric that was measured at two or more values of the swept key.
func fitSlopes(runs []Run) []Slope {
	var slopes []Slope
	for _, version := range []string{Baseline, Candidate} {
		for _, m := range metrics {
			byGroup := pointsByGroup(runs, version, m)
			for _, group := range slices.Sorted(maps.Keys(byGroup)) {
				slope, ok := leastSquares(byGroup[group].xs, byGroup[group].ys)
				if !ok {
					continue
				}
				slope.Version = version
				slope.Metric = m.name
				slope.Group = group
				slopes = append(slopes, slope)
			}
		}
	}
	return slopes
}

// pointsByGroup returns the points of a version's metric by group name. The points of a metric of the whole run have the
// key "".
func pointsByGroup(runs []Run, version string, m metric) map[string]*points {
	byGroup := map[string]*points{}
	for _, run := range runs {
		if run.Version != version {
			continue
		}
		scopes := run.Groups
		if !m.perGroup {
			scopes = map[string]Metrics{"": run.Metrics}
		}
		for group, scope := range scopes {
			measured, ok := scope[m.name]
			if !ok {
				continue
			}
			if byGroup[group] == nil {
				byGroup[group] = &points{}
			}
			byGroup[group].xs = append(byGroup[group].xs, run.Value)
			byGroup[group].ys = append(byGroup[group].ys, measured)
		}
	}
	return byGroup
}

// leastSquares returns the least-squares line through the points. ok is false if all points have the same x.
func leastSquares(xs, ys []float64) (line Slope, ok bool) {
	n := float64(len(xs))
	var meanX, meanY float64
	for i := range xs {
		meanX += xs[i] / n
		meanY += ys[i] / n
	}
	var sumXX, sumXY, sumYY float64
	for i := range xs {
		dx := xs[i] - meanX
		dy := ys[i] - meanY
		sumXX += dx * dx
		sumXY += dx * dy
		sumYY += dy * dy
	}
	if sumXX == 0 {
		return Slope{}, false
	}
	line = Slope{Slope: sumXY / sumXX, R2: 1, Points: len(xs)}
	line.Intercept = meanY - line.Slope*meanX
	if sumYY > 0 {
		line.R2 = sumXY * sumXY / (sumXX * sumYY)
	}
	return line, true
}
