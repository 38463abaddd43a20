package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
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

	mu       sync.Mutex      // guards waiters and changes of held and peak
	waiters  []*memoryWaiter // calls of reserve that wait, in the order of the calls
	held     atomic.Int64    // bytes reserved and not released
	peak     atomic.Int64    // highest value of held
	warnedAt atomic.Int64    // Unix time in nanoseconds of the last log line; 0: none
}

// memoryWaiter is a call of reserve that waits.
type memoryWaiter struct {
	bytes   int64
	granted chan struct{} // closed when the bytes have been taken for the call
}

// newMemoryBudget returns a budget of capacity bytes.
func newMemoryBudget(kind string, capacity int64, log *slog.Logger) *memoryBudget {
	return &memoryBudget{kind: kind, capacity: capacity, log: log}
}

// newUnlimitedBudget returns a budget that only counts the memory.
func newUnlimitedBudget(kind string) *memoryBudget {
	return newMemoryBudget(kind, math.MaxInt64, slog.Default())
}

// reserve takes bytes from the budget, and waits for them until ctx ends or the given time. The error is then
// errMemoryExhausted, which may be wrapped. The caller must release the reservation.
//
// The newest call gets free bytes first. While clients that stop in the middle of a message use up the budget, most of
// the waiting calls are theirs. In the order of the calls, every message would wait behind all of them.
func (b *memoryBudget) reserve(ctx context.Context, until time.Time, bytes int64) (reservation, error) {
	b.mu.Lock()
	if b.take(bytes) {
		b.mu.Unlock()
		return reservation{b, bytes}, nil
	}
	waiter := &memoryWaiter{bytes: bytes, granted: make(chan struct{})}
	b.waiters = append(b.waiters, waiter)
	b.mu.Unlock()
	b.warn()
	timeout := time.NewTimer(time.Until(until))
	defer timeout.Stop()
	select {
	case <-waiter.granted:
		return reservation{b, bytes}, nil
	case <-timeout.C:
		return b.abandon(waiter)
	case <-ctx.Done():
		return b.abandon(waiter)
	}
}

// abandon ends the wait of a call whose time is over. It returns the reservation if the bytes have just been taken.
func (b *memoryBudget) abandon(waiter *memoryWaiter) (reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := slices.Index(b.waiters, waiter)
	if at < 0 {
		return reservation{b, waiter.bytes}, nil
	}
	b.waiters = slices.Delete(b.waiters, at, at+1)
	b.grant() // an older call may need fewer bytes
	return reservation{}, fmt.Errorf("%s: %w", b.kind, errMemoryExhausted)
}

// tryReserve takes bytes from the budget if they are free and no call of reserve waits.
func (b *memoryBudget) tryReserve(bytes int64) (r reservation, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) > 0 || !b.take(bytes) {
		return reservation{}, false
	}
	return reservation{b, bytes}, true
}

// unreservedPartBytes is the size of the next part of a message up to which reserveMore reserves nothing.
const unreservedPartBytes = 4 << 10

// reserveMore reserves memory for the next part of a message that holds memory already. It doesn't wait: if all memory
// were held by such messages, all of them would wait for each other. The error is errMemoryExhausted, which may be
// wrapped.
func (b *memoryBudget) reserveMore(bytes int64) (reservation, error) {
	if bytes <= unreservedPartBytes {
		return reservation{}, nil
	}
	memory, free := b.tryReserve(bytes)
	if !free {
		return reservation{}, fmt.Errorf("%s: %w", b.kind, errMemoryExhausted)
	}
	return memory, nil
}

// take takes bytes if they are free, and reports whether it did. The caller holds mu.
func (b *memoryBudget) take(bytes int64) bool {
	held := b.held.Load()
	if bytes > b.capacity-held {
		return false
	}
	b.held.Store(held + bytes)
	b.peak.Store(max(b.peak.Load(), held+bytes))
	return true
}

// giveBack returns bytes to the budget.
func (b *memoryBudget) giveBack(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held.Add(-bytes)
	b.grant()
}

// grant takes free bytes for the waiting calls, newest first, up to the first call that needs more than are free. The
// caller holds mu.
func (b *memoryBudget) grant() {
	for len(b.waiters) > 0 {
		newest := b.waiters[len(b.waiters)-1]
		if !b.take(newest.bytes) {
			return
		}
		b.waiters[len(b.waiters)-1] = nil
		b.waiters = b.waiters[:len(b.waiters)-1]
		close(newest.granted)
	}
}

// waiting returns the number of calls of reserve that wait.
func (b *memoryBudget) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiters)
}

// hasWaiters reports whether a call of reserve waits.
func (b *memoryBudget) hasWaiters() bool { return b.waiting() > 0 }

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
		slog.Int("waiting", b.waiting()))
}

// reservation is memory that was taken from a budget. The zero value holds nothing.
type reservation struct {
	budget *memoryBudget
	bytes  int64
}

// merge adds the memory of another reservation of the same budget, which must not be released afterwards.
func (r *reservation) merge(other reservation) {
	if r.budget == nil {
		*r = other
		return
	}
	r.bytes += other.bytes
}

// shrink returns the memory beyond bytes to its budget.
func (r *reservation) shrink(bytes int64) {
	if r.budget != nil && bytes < r.bytes {
		r.budget.giveBack(r.bytes - bytes)
		r.bytes = bytes
	}
}

// release returns the memory to its budget. Further calls do nothing.
func (r *reservation) release() {
	if r.budget != nil {
		r.budget.giveBack(r.bytes)
		r.budget = nil
	}
}
