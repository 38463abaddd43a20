package gateway

const (
	recentIDWindow = 4.0     // seconds for which an id is remembered, unless maxRecentIDs is reached
	maxRecentIDs   = 1 << 13 // ids in a window; when it is full, the next window begins early
)

// recentIDs remembers ids for a limited time: it holds the ids of the current window and of the one before. The zero
// value is empty.
type recentIDs struct {
	current      map[string]struct{}
	previous     map[string]struct{}
	currentSince float64 // in seconds
}

// add records an id, and reports whether it is new. now is in seconds of the caller's clock.
func (r *recentIDs) add(id string, now float64) bool {
	if r.current == nil || now-r.currentSince > recentIDWindow || len(r.current) >= maxRecentIDs {
		r.previous = r.current
		r.current = map[string]struct{}{}
		r.currentSince = now
	}
	if r.has(id) {
		return false
	}
	r.current[id] = struct{}{}
	return true
}

// has reports whether an id is remembered.
func (r *recentIDs) has(id string) bool {
	if _, seen := r.current[id]; seen {
		return true
	}
	_, seen := r.previous[id]
	return seen
}
