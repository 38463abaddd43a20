package gateway

import (
	"context"
	"log/slog"
	runtimemetrics "runtime/metrics"
	"time"
)

// Parameters of the watch of the process's memory.
const (
	memoryWatchInterval     = 250 * time.Millisecond // time between two readings
	memoryWatchWarnInterval = 10 * time.Second       // minimum time between two log lines
)

// Indexes of the samples that the memory watch reads.
const (
	mappedSample = iota
	releasedSample
	watchSampleCount
)

// memoryWatch logs what the process holds while the Go runtime uses more than its memory limit. The platform kills a
// process that goes over its limit, and the last line shows then which connections and requests the process had.
type memoryWatch struct {
	limit    uint64 // bytes that the runtime may use
	log      *slog.Logger
	details  func() []any // further attributes of a log line
	samples  [watchSampleCount]runtimemetrics.Sample
	warnedAt time.Time
}

// newMemoryWatch returns a watch for the memory limit of the configuration.
func (s *server) newMemoryWatch() *memoryWatch {
	w := &memoryWatch{limit: uint64(s.config.HeapLimit()), log: s.log, details: s.memoryDetails}
	w.samples[mappedSample].Name = "/memory/classes/total:bytes"
	w.samples[releasedSample].Name = "/memory/classes/heap/released:bytes"
	return w
}

// memoryDetails returns the attributes that tell what holds the memory of the process.
func (s *server) memoryDetails() []any {
	loop := s.frontend.loop
	return []any{
		"memory", memoryUsage{},
		"cpu", cpuUsage{},
		"clients", s.clientConnections,
		"request_memory", s.frontend.memory,
		"response_memory", s.pools.memory,
		"open_requests", loop.openRequests.Load(),
		"timers", loop.scheduledTimers.Load(),
	}
}

// run reads the memory in use every memoryWatchInterval until ctx ends.
func (w *memoryWatch) run(ctx context.Context) {
	ticker := time.NewTicker(memoryWatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.check(now)
		}
	}
}

// check logs a line if the runtime uses more memory than its limit, at most once in memoryWatchWarnInterval.
func (w *memoryWatch) check(now time.Time) {
	used := w.used()
	if used <= w.limit || !w.warnedAt.IsZero() && now.Sub(w.warnedAt) < memoryWatchWarnInterval {
		return
	}
	w.warnedAt = now
	w.log.Warn("memory limit of the runtime exceeded", append([]any{"limit", w.limit, "used", used}, w.details()...)...)
}

// used returns the number of bytes that the runtime's memory limit covers and that are in use.
func (w *memoryWatch) used() uint64 {
	runtimemetrics.Read(w.samples[:])
	for _, sample := range w.samples {
		if sample.Value.Kind() != runtimemetrics.KindUint64 {
			return 0 // another version of the runtime may lack the metric
		}
	}
	return w.samples[mappedSample].Value.Uint64() - w.samples[releasedSample].Value.Uint64()
}
