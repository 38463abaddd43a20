package gateway

import "log/slog"

// runtimeCPUMetrics are the metrics that cpuUsage logs. The runtime updates them at each garbage collection.
var runtimeCPUMetrics = []runtimeMetric{
	{"collector", "/cpu/classes/gc/total:cpu-seconds"},
	{"user", "/cpu/classes/user:cpu-seconds"}, // the program's own code
}

// cpuUsage is a log value: the processor time that the process has used since its start, in seconds. While memory is
// short, the garbage collector takes up to half of all processor time, and requests are answered late.
type cpuUsage struct{}

// LogValue reads the current values.
func (cpuUsage) LogValue() slog.Value {
	return slog.GroupValue(readRuntimeMetrics(runtimeCPUMetrics)...)
}
