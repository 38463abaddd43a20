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
	inFlightByLevel                    []int // own attempts in flight by level
	inFlight                           int
	abandoned                          []abandonedAttempt
	consecutiveTimeouts                int     // attempts given up since the last answer
	failureRate                        float64 // share of recent failures
	latency                            float64 // 0: no answer yet
	lastSuccessAt                      float64
	nextTrialAt, trialInterval         float64
	slowStartTokens, slowStartTokensAt float64 // sends it may get while cold
}

// findOrAddBackend finds a listed backend, or adds it to the list, which is kept by id.
func (e *Engine) findOrAddBackend(entry Backend) *backend {
	b := e.backends.byID[entry.ID]
	if b == nil {
		b = &backend{Backend: entry, inFlightByLevel: make([]int, len(e.queue.weights)), slowStartTokensAt: e.now}
		e.backends.byID[entry.ID] = b
		byID := func(b *backend, id BackendID) int { return cmp.Compare(b.ID, id) }
		at, _ := slices.BinarySearchFunc(e.backends.ordered, entry.ID, byID)
		e.backends.ordered = slices.Insert(e.backends.ordered, at, b)
	}
	return b
}

// dropRemovedBackends drops backends that are gone and have nothing in flight.
func (e *Engine) dropRemovedBackends() {
	e.backends.ordered = slices.DeleteFunc(e.backends.ordered, func(b *backend) bool {
		gone := b.State == Removed && b.inFlight == 0
		if gone {
			delete(e.backends.byID, b.ID)
		}
		return gone
	})
}
