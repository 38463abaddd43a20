package policy

// Membership: the list of backends as discovery tells it.

// askRest is how many seconds pass until discovery is asked again after it failed.
const askRest = 1.0

// backends takes in changes of the list. What is not ready gets nothing from now on.
func (g *Gateway) backends(e Backends) {
	if e.Kind == ListFailed {
		g.timer(askRest, timerAsk, 0, 0) // at once, all gateways would keep discovery down
		return
	}
	if e.Kind != Delta {
		for _, s := range g.list {
			s.State = Gone
		}
	}
	for _, b := range e.Entries {
		fresh := g.servers[b.ID] == nil
		s := g.serverOf(b)
		if fresh || b.Born > s.Born {
			s.latency, s.fail = 0, 0 // a new process
			// Of many gateways, each may send a cold backend one request in many seconds. Were all to
			// save up for it from nothing, it would idle while it is needed most, and then get them all at once.
			s.budget, s.budgetedAt = g.rng.Float64(), g.now
		} else {
			b.Born = s.Born
		}
		s.Backend = b
	}
	if g.bound == 0 && len(g.list) > 0 {
		g.bound = boundStart * g.perGateway()
	}
}
