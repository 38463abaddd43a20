package counter

import (
	"container/heap"
	"sync"
	"time"
)

// shard serves the calls for its names, one at a time in the order of their arrival.
// It reads no clock; times are passed to it. Its methods need mu to be held.
type shard struct {
	mu          sync.Mutex
	finishTimes []time.Duration // ends of the turns that are not over, in order, on the service clock
	names       map[string]*entry
	byExpiry    expiryHeap // the same names
}

// entry is the total of a name.
type entry struct {
	name      string
	total     float64
	expiresAt time.Duration // set by the first call, and not moved by later ones
}

// schedule gives a call a turn of the length serviceTime after those already reserved. due is its end; it and
// serviceNow are on the service clock. ok is false if maxQueued calls wait already.
func (s *shard) schedule(serviceNow, serviceTime time.Duration, maxQueued int) (due time.Duration, ok bool) {
	finished := 0
	for finished < len(s.finishTimes) && s.finishTimes[finished] <= serviceNow {
		finished++
	}
	s.finishTimes = s.finishTimes[finished:]
	if len(s.finishTimes) > maxQueued { // one has its turn, the others wait
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

// add adds to a name, which it creates if there is none, with a lifetime from now. expired is how many names expired
// before.
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

// evictExpired removes the names that have expired and returns how many.
func (s *shard) evictExpired(now time.Duration) (expired int) {
	for len(s.byExpiry) > 0 && s.byExpiry[0].expiresAt <= now {
		delete(s.names, heap.Pop(&s.byExpiry).(*entry).name)
		expired++
	}
	return expired
}

// removeAll removes all names and returns how many there were.
func (s *shard) removeAll() (removed int) {
	removed = len(s.names)
	s.names = make(map[string]*entry)
	s.byExpiry = nil
	return removed
}

// expiryHeap is a heap of names, that which expires first on top. See container/heap.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an entry.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop removes the last entry.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
