package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Kinds of messages, each with a budget of its own. A request holds memory while it waits for memory of its response. If
// both came from one budget, requests could use it up, and none of them would be answered.
const (
	requestsKind  = "requests"
	responsesKind = "responses"
)

// memoryWarnInterval is the minimum time between two log lines about an exhausted budget.
const memoryWarnInterval = 10 * time.Second

// errMemoryExhausted is returned if a budget had no memory left in time.
var errMemoryExhausted = errors.New("memory budget exhausted")

// memoryBudget limits the memory of messages of one kind over all connections. The number of connections alone does not
// limit it, since a message may be far larger than what a connection needs between two messages. Its methods are safe
// for concurrent use.
type memoryBudget struct {
	kind     string // kind of the messages, for log lines
	capacity int64  // bytes
	log      *slog.Logger

	free     *semaphore.Weighted // bytes that are not held
	waiting  atomic.Int32        // number of calls of reserve that wait
	held     atomic.Int64        // bytes reserved and not released
	peak     atomic.Int64        // highest value of held
	warnedAt atomic.Int64        // Unix time in nanoseconds of the last log line; 0: none
}

// newMemoryBudget returns a budget of capacity bytes.
func newMemoryBudget(kind string, capacity int64, log *slog.Logger) *memoryBudget {
	return &memoryBudget{kind: kind, capacity: capacity, log: log, free: semaphore.NewWeighted(capacity)}
}

// newUnlimitedBudget returns a budget that only counts the memory.
func newUnlimitedBudget(kind string) *memoryBudget {
	return newMemoryBudget(kind, math.MaxInt64, slog.Default())
}

// reserve takes bytes from the budget, and waits for them until ctx ends. Calls that wait get their bytes in the order
// of the calls. If ctx ends first, the error is errMemoryExhausted, which may be wrapped. The caller must release the
// reservation.
func (b *memoryBudget) reserve(ctx context.Context, bytes int64) (reservation, error) {
	if !b.free.TryAcquire(bytes) {
		b.waiting.Add(1)
		defer b.waiting.Add(-1)
		b.warn()
		if err := b.free.Acquire(ctx, bytes); err != nil {
			return reservation{}, fmt.Errorf("%s: %w", b.kind, errMemoryExhausted)
		}
	}
	return b.hold(bytes), nil
}

// tryReserve takes bytes from the budget if they are free and no call of reserve waits.
func (b *memoryBudget) tryReserve(bytes int64) (r reservation, ok bool) {
	if !b.free.TryAcquire(bytes) {
		return reservation{}, false
	}
	return b.hold(bytes), true
}

// hold counts bytes that have been taken from free.
func (b *memoryBudget) hold(bytes int64) reservation {
	held := b.held.Add(bytes)
	for peak := b.peak.Load(); held > peak && !b.peak.CompareAndSwap(peak, held); peak = b.peak.Load() {
	}
	return reservation{budget: b, bytes: bytes}
}

// hasWaiters reports whether a call of reserve waits.
func (b *memoryBudget) hasWaiters() bool { return b.waiting.Load() > 0 }

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
		slog.Int64("peak", b.peak.Load()),
		slog.Int64("waiting", int64(b.waiting.Load())))
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
		r.budget.free.Release(r.bytes)
		r.budget = nil
	}
}
