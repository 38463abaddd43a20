package policy

import "math"

// clientTimeouts is how long the clients of a class and plan wait for one try.
type clientTimeout struct{ latest, usual float64 }

// elapsedBefore is the time that the client has surely spent on earlier tries. Most tries of a class and
// plan are given the same patience; one that has another is cut to what is left of the client's whole
// patience. A repeat whose aim has passed earns nothing, yet takes units, a call and a backend's time from
// requests that may still earn; a fresh try must not be taken for one, so an unknown patience says nothing.
func (e *Engine) elapsedBefore(r Request, c *Class) float64 {
	left, usual := r.Deadline-r.SentAt, &e.clientTimeouts[r.Class*len(e.settings.Plans)+r.Plan]
	same := func(x float64) bool { return math.Abs(left-x) < 2*e.settings.Tick }
	if same(usual.latest) {
		usual.usual = left
	}
	usual.latest = left
	if usual.usual == 0 || same(usual.usual) {
		return 0
	}
	return max(c.Deadline-left, 0)
}
