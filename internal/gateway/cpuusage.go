package gateway

import (
	"log/slog"
	runtimemetrics "runtime/metrics"
)

// runtimeCPUMetrics lists the log key and the name of each metric of the Go runtime that cpuUsage logs. The runtime updates
// them at each garbage collection.
var runtimeCPUMetrics = []struct{ key, name string }{
	{"collector", "/cpu/classes/gc/total:cpu-seconds"},
	{"user", "/cpu/classes/user:cpu-seconds"}, // the program's own code
}

// cpuUsage is a log value: the processor time that the process has used since its start, in seconds. While memory is
// short, the garbage collector takes up to half of all processor time, and requests are answered late.
type cpuUsage struct{}

// LogValue reads the current values. Values that the runtime doesn't provide are left out.
func (cpuUsage) LogValue() slog.Value {
	samples := make([]runtimemetrics.Sample, len(runtimeCPUMetrics))
	for i, m := range runtimeCPUMetrics {
		samples[i].Name = m.name
	}
	runtimemetrics.Read(samples)
	var attrs []slog.Attr
	for i, m := range runtimeCPUMetrics {
		if samples[i].Value.Kind() == runtimemetrics.KindFloat64 {
			attrs = append(attrs, slog.Float64(m.key, samples[i].Value.Float64()))
		}
	}
	return slog.GroupValue(attrs...)
}
