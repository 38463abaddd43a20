package policy

import (
	"cmp"
	"slices"
)

// backendSet is every backend of the endpoint list, and those removed from it that still have attempts in
// flight.
type backendSet struct {
	byID    map[BackendID]*backend
	ordered []*backend // by id
}

// backend is what this gateway knows of one backend.
type backend struct {
	Backend

	inFlight            int                // own attempts, also abandoned ones
	inFlightByLevel     []int              // the same by level
	abandoned           []abandonedAttempt // those that may still run there
	consecutiveTimeouts int                // attempts timed out or cancelled since the last served one

	failureRate   float64 // share of recent attempts that failed
	latency       float64 // mean of recent attempts in seconds; 0: no answer yet
	lastSuccessAt float64 // clock time; 0: never
	nextTrialAt   float64 // clock time; where it is ejected
	trialInterval float64 // seconds

	slowStartTokens   float64 // sends that it may get in slow start
	slowStartTokensAt float64 // clock time of the last refill
}

// markAllRemoved takes all backends for removed, until a list names them.
func (s *backendSet) markAllRemoved() {
	for _, b := range s.ordered {
		b.State = Removed
	}
}

// insert adds a backend that is not in the set.
func (s *backendSet) insert(b *backend) {
	s.byID[b.ID] = b
	compareID := func(b *backend, id BackendID) int { return cmp.Compare(b.ID, id) }
	at, _ := slices.BinarySearchFunc(s.ordered, b.ID, compareID)
	s.ordered = slices.Insert(s.ordered, at, b)
}

// findOrAddBackend returns the backend of an entry of the endpoint list, which it adds if it is new.
func (e *Engine) findOrAddBackend(entry Backend) *backend {
	if b := e.backends.byID[entry.ID]; b != nil {
		return b
	}
	b := &backend{
		Backend:           entry,
		inFlightByLevel:   make([]int, len(e.queue.weights)),
		slowStartTokensAt: e.now,
	}
	e.backends.insert(b)
	return b
}

// dropRemovedBackends drops backends that are removed and have nothing in flight.
func (e *Engine) dropRemovedBackends() {
	e.backends.ordered = slices.DeleteFunc(e.backends.ordered, func(b *backend) bool {
		unused := b.State == Removed && b.inFlight == 0
		if unused {
			delete(e.backends.byID, b.ID)
		}
		return unused
	})
}
