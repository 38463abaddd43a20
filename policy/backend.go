package policy

import (
	"cmp"
	"slices"
)

// backendSet holds the backends of the endpoint list, and removed backends that still have attempts in
// flight.
type backendSet struct {
	byID    map[BackendID]*backend
	ordered []*backend // in order of ID
}

// backend is the state that this gateway keeps for one backend.
type backend struct {
	Backend

	inFlight            int                // attempts of this gateway in flight, including abandoned attempts
	inFlightByLevel     []int              // inFlight by level of the request
	abandoned           []abandonedAttempt // attempts that the backend may still be executing
	consecutiveTimeouts int                // attempts timed out or cancelled since the last served attempt

	failureRate   float64 // share of recent attempts that failed or were overdue
	latency       float64 // seconds; mean latency of recent attempts; 0: unknown
	lastSuccessAt float64 // clock time of the last served attempt; 0: never
	nextTrialAt   float64 // clock time at which the next trial is due; used only while ejected
	trialInterval float64 // seconds between trials

	slowStartFrom     float64 // clock time from which on the slow start of the current process counts
	slowStartTokens   float64 // attempts that may be sent now while the backend is in slow start
	slowStartTokensAt float64 // clock time of the last refill of slowStartTokens
}

// markAllRemoved marks all backends as removed, before a complete list is applied.
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

// findOrAddBackend returns the backend of an entry of the endpoint list, and adds the backend if it is new.
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

// dropRemovedBackends deletes the removed backends that have no attempts in flight.
func (e *Engine) dropRemovedBackends() {
	e.backends.ordered = slices.DeleteFunc(e.backends.ordered, func(b *backend) bool {
		unused := b.State == Removed && b.inFlight == 0
		if unused {
			delete(e.backends.byID, b.ID)
		}
		return unused
	})
}
