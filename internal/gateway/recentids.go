package gateway

// recentIDs remembers ids for a while: those of the present span and of the last.
type recentIDs struct {
	current, previous map[string]struct{}
	currentSince      float64
}

const (
	recentIDWindow = 4.0     // seconds
	maxRecentIDs   = 1 << 13 // ids of a span; then the next begins
)

// add tells whether an id is new, and remembers it.
func (r *recentIDs) add(id string, now float64) bool {
	if r.current == nil || now-r.currentSince > recentIDWindow || len(r.current) >= maxRecentIDs {
		r.current, r.previous, r.currentSince = map[string]struct{}{}, r.current, now
	}
	if _, seen := r.current[id]; seen {
		return false
	}
	if _, seen := r.previous[id]; seen {
		return false
	}
	r.current[id] = struct{}{}
	return true
}
