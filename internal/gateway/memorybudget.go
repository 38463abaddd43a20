package gateway

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// memoryWarnInterval is the minimum time between two log lines about an exhausted budget.
const memoryWarnInterval = 10 * time.Second

// memoryBudget counts the memory of messages of one kind over all connections. Its methods are safe for concurrent use.
type memoryBudget struct {
	kind     string // kind of the messages, for log lines
	capacity int64  // bytes
	log      *slog.Logger

	held     atomic.Int64 // bytes taken and not released
	peak     atomic.Int64 // highest value of held
	warnedAt atomic.Int64 // Unix time in nanoseconds of the last log line; 0: none
}

// newMemoryBudget returns a budget of capacity bytes.
func newMemoryBudget(kind string, capacity int64, log *slog.Logger) *memoryBudget {
	return &memoryBudget{kind: kind, capacity: capacity, log: log}
}

// take takes bytes from the budget. The caller must release the reservation.
func (b *memoryBudget) take(bytes int64) reservation {
	held := b.held.Add(bytes)
	for peak := b.peak.Load(); held > peak && !b.peak.CompareAndSwap(peak, held); peak = b.peak.Load() {
	}
	if held > b.capacity {
		b.warn()
	}
	return reservation{budget: b, bytes: bytes}
}

// warn logs that the budget is exhausted, at most once in memoryWarnInterval.
func (b *memoryBudget) warn() {
	now := time.Now().UnixNano()
	last := b.warnedAt.Load()
	if now-last < int64(memoryWarnInterval) || !b.warnedAt.CompareAndSwap(last, now) {
		return
	}
	b.log.Warn("memory budget exhausted", "budget", b.kind, "usage", b, "process", memoryUsage{})
}

// LogValue returns the state of the budget.
func (b *memoryBudget) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("capacity", b.capacity),
		slog.Int64("held", b.held.Load()),
		slog.Int64("peak", b.peak.Load()))
}

// reservation is memory that was taken from a budget. The zero value holds nothing.
type reservation struct {
	budget *memoryBudget
	bytes  int64
}

// release returns the memory to its budget. Further calls do nothing.
func (r *reservation) release() {
	if r.budget != nil {
		r.budget.held.Add(-r.bytes)
		r.budget = nil
	}
}
