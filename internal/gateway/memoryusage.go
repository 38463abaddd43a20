package gateway

import (
	"bufio"
	"log/slog"
	"os"
	runtimemetrics "runtime/metrics"
	"strconv"
	"strings"
)

// runtimeMemoryMetrics lists the log key and the name of each metric of the Go runtime that memoryUsage logs. The
// runtime's memory limit (debug.SetMemoryLimit) covers mapped less released.
var runtimeMemoryMetrics = []struct{ key, name string }{
	{"mapped", "/memory/classes/total:bytes"},           // all memory that the runtime has mapped
	{"released", "/memory/classes/heap/released:bytes"}, // returned to the operating system
	{"live", "/gc/heap/live:bytes"},                     // objects that the last garbage collection found in use
	{"objects", "/memory/classes/heap/objects:bytes"},   // objects in use, and garbage that is not collected yet
	{"unused", "/memory/classes/heap/unused:bytes"},     // free parts of the spans that hold objects
	{"free", "/memory/classes/heap/free:bytes"},         // free spans that have not been released
	{"stacks", "/memory/classes/heap/stacks:bytes"},     // stacks of goroutines
}

// Line of processStatusFile with the resident memory that is not backed by files, in kB.
const (
	processStatusFile    = "/proc/self/status"
	residentAnonymousKey = "RssAnon:"
)

// memoryUsage is a log value: the memory of the process by its use, in bytes.
type memoryUsage struct{}

// LogValue reads the current values. Values that the system doesn't provide are left out.
func (memoryUsage) LogValue() slog.Value {
	samples := make([]runtimemetrics.Sample, len(runtimeMemoryMetrics))
	for i, m := range runtimeMemoryMetrics {
		samples[i].Name = m.name
	}
	runtimemetrics.Read(samples)
	var attrs []slog.Attr
	for i, m := range runtimeMemoryMetrics {
		if samples[i].Value.Kind() == runtimemetrics.KindUint64 {
			attrs = append(attrs, slog.Uint64(m.key, samples[i].Value.Uint64()))
		}
	}
	if resident, ok := residentAnonymousBytes(); ok {
		attrs = append(attrs, slog.Uint64("resident_anonymous", resident))
	}
	return slog.GroupValue(attrs...)
}

// residentAnonymousBytes returns the resident memory of the process that is not backed by files.
func residentAnonymousBytes() (bytes uint64, ok bool) {
	file, err := os.Open(processStatusFile)
	if err != nil {
		return 0, false
	}
	defer file.Close()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 2 || fields[0] != residentAnonymousKey {
			continue
		}
		kilobytes, err := strconv.ParseUint(fields[1], 10, 64)
		return kilobytes << 10, err == nil
	}
	return 0, false
}
