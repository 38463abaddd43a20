package counter

import (
	"container/heap"
	"sync"
	"time"
)

// shard serves the calls for its names, one at a time in the order they came. It
// knows no clock; see Counter.
type shard struct {
	mu          sync.Mutex
	finishTimes []time.Duration // ends of the turns not yet over, in order
	names       map[string]*entry
	byExpiry    expiryHeap // the same names, the one that ends first on top
}

// entry is one total with its end, which calls after the first don't move.
type entry struct {
	key       string
	total     float64
	expiresAt time.Duration
}

// reserveTurn gives a call a turn of the length of service, which ends at due. Both due
// and served, the time now, are on the clock of service. ok is false if so many
// calls wait already.
func (p *shard) reserveTurn(serviceNow, serviceTime time.Duration, maxQueued int) (due time.Duration, ok bool) {
	finished := 0
	for finished < len(p.finishTimes) && p.finishTimes[finished] <= serviceNow {
		finished++
	}
	p.finishTimes = p.finishTimes[finished:]
	if len(p.finishTimes) > maxQueued { // one has its turn, the rest wait
		return 0, false
	}
	due = serviceNow + serviceTime
	if n := len(p.finishTimes); n > 0 {
		due = p.finishTimes[n-1] + serviceTime
	}
	p.finishTimes = append(p.finishTimes, due)
	return due, true
}

// add adds to a name that lives for so long from its first call on. made tells
// that it is new, ended how many names ended before.
func (p *shard) add(now time.Duration, key []byte, amount float64, lifetime time.Duration) (total float64, created bool, expired int) {
	expired = p.evictExpired(now)
	e := p.names[string(key)]
	if e == nil {
		created = true
		e = &entry{key: string(key), expiresAt: now + lifetime}
		p.names[e.key] = e
		heap.Push(&p.byExpiry, e)
	}
	e.total += amount
	return e.total, created, expired
}

// evictExpired forgets the names that have ended and returns how many.
func (p *shard) evictExpired(now time.Duration) (expired int) {
	for len(p.byExpiry) > 0 && p.byExpiry[0].expiresAt <= now {
		delete(p.names, heap.Pop(&p.byExpiry).(*entry).key)
		expired++
	}
	return expired
}

// removeAll forgets all names and returns how many there were.
func (p *shard) removeAll() (removed int) {
	removed = len(p.names)
	p.names, p.byExpiry = make(map[string]*entry), nil
	return removed
}

// expiryHeap is a heap of names by their ends.
type expiryHeap []*entry

func (l expiryHeap) Len() int           { return len(l) }
func (l expiryHeap) Less(i, j int) bool { return l[i].expiresAt < l[j].expiresAt }
func (l expiryHeap) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *expiryHeap) Push(x any)        { *l = append(*l, x.(*entry)) }
func (l *expiryHeap) Pop() any {
	last := len(*l) - 1
	n := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	return n
}
