package gateway

const (
	recentIDWindow = 4.0     // seconds; minimum length of a window that does not become full
	maxRecentIDs   = 1 << 13 // number of ids in a full window; a full window ends early
)

// recentIDs remembers ids for a limited time. It divides time into windows, and holds the ids of the current window and
// of the previous window. An id is therefore remembered for at least recentIDWindow, unless a window becomes full. The
// zero value is empty.
type recentIDs struct {
	current      map[string]struct{}
	previous     map[string]struct{}
	currentSince float64 // time at which the current window began, in seconds of the caller's clock
}

// add records an id, and reports whether the id is new. The time now is in seconds of the caller's clock.
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
