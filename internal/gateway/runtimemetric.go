package gateway

import (
	"log/slog"
	runtimemetrics "runtime/metrics"
)

// runtimeMetric is a metric of the Go runtime that is logged.
type runtimeMetric struct{ key, name string } // key in the log, name in package runtime/metrics

// readRuntimeMetrics returns the current values of metrics as log attributes. Values that the runtime doesn't provide are
// left out.
func readRuntimeMetrics(metrics []runtimeMetric) []slog.Attr {
	samples := make([]runtimemetrics.Sample, len(metrics))
	for i, m := range metrics {
		samples[i].Name = m.name
	}
	runtimemetrics.Read(samples)
	var attrs []slog.Attr
	for i, m := range metrics {
		switch value := samples[i].Value; value.Kind() {
		case runtimemetrics.KindUint64:
			attrs = append(attrs, slog.Uint64(m.key, value.Uint64()))
		case runtimemetrics.KindFloat64:
			attrs = append(attrs, slog.Float64(m.key, value.Float64()))
		}
	}
	return attrs
}
