package counter

import (
	"container/heap"
	"sync"
	"time"
)

// shard holds a part of the names and serves their calls one at a time, in the order of
// their arrival. It reads no clock: its methods are given the time. The caller of a method must
// hold mu.
type shard struct {
	mu          sync.Mutex
	finishTimes []time.Duration // service clock times at which calls in service or waiting finish, ascending
	names       map[string]*entry
	byExpiry    expiryHeap // entries of names, ordered by the time at which they expire
}

// entry is a name with its total.
type entry struct {
	name      string
	total     float64
	expiresAt time.Duration // time of expiry, set by the first call; later calls do not extend it
}

// schedule schedules a call that takes serviceTime. The call is served after all calls that were scheduled earlier. The
// result due is the time at which the call's service ends; due and serviceNow are on the service clock. If maxQueued
// calls are already waiting, the call is not scheduled and ok is false.
func (s *shard) schedule(serviceNow, serviceTime time.Duration, maxQueued int) (due time.Duration, ok bool) {
	finished := 0
	for finished < len(s.finishTimes) && s.finishTimes[finished] <= serviceNow {
		finished++
	}
	s.finishTimes = s.finishTimes[finished:]
	if len(s.finishTimes) > maxQueued { // the first call is in service, the other calls wait
		return 0, false
	}
	serviceStart := serviceNow
	if n := len(s.finishTimes); n > 0 {
		serviceStart = s.finishTimes[n-1]
	}
	due = serviceStart + serviceTime
	s.finishTimes = append(s.finishTimes, due)
	return due, true
}

// add removes the names that have expired, then adds an amount to the total of a name and returns the new total. A name
// that doesn't exist is created and expires after lifetime. The result expired is the number of names removed.
func (s *shard) add(
	now time.Duration, name []byte, amount float64, lifetime time.Duration,
) (total float64, created bool, expired int) {
	expired = s.evictExpired(now)
	e := s.names[string(name)]
	if e == nil {
		created = true
		e = &entry{name: string(name), expiresAt: now + lifetime}
		s.names[e.name] = e
		heap.Push(&s.byExpiry, e)
	}
	e.total += amount
	return e.total, created, expired
}

// evictExpired removes the names that have expired and returns their number.
func (s *shard) evictExpired(now time.Duration) (expired int) {
	for len(s.byExpiry) > 0 && s.byExpiry[0].expiresAt <= now {
		delete(s.names, heap.Pop(&s.byExpiry).(*entry).name)
		expired++
	}
	return expired
}

// removeAll removes all names and returns their number.
func (s *shard) removeAll() (removed int) {
	removed = len(s.names)
	s.names = make(map[string]*entry)
	s.byExpiry = nil
	return removed
}

// expiryHeap is a heap of entries for container/heap. The entry that expires first is on top.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an entry, as container/heap requires.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop removes the last entry and returns it, as container/heap requires.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
