package gateway

import (
	"bufio"
	"log/slog"
	"os"
	"strconv"
	"strings"
)

// runtimeMemoryMetrics are the metrics that memoryUsage logs. The runtime's memory limit (debug.SetMemoryLimit) covers
// mapped less released.
var runtimeMemoryMetrics = []runtimeMetric{
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
	attrs := readRuntimeMetrics(runtimeMemoryMetrics)
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
