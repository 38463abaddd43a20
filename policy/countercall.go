package policy

import "slices"

const (
	counterNameTTL     = 60.0 // seconds for which the counter keeps a name: longer than its window
	maxUnansweredCalls = 64   // calls without a reply that are remembered, in case one comes late
)

// counterCall is a CounterAdd whose reply is due. Its amounts are in units; the counter adds their sum.
type counterCall struct {
	id             uint64
	customer       *customer
	name           uint64  // of the total
	window         float64 // number of the window that the total is for
	refill         float64 // the total at which the store is full
	spent          float64 // what has been spent already; below 0: returned
	adjustment     float64 // refill that nobody has used and that expires; below 0: taken back
	leaseUnits     float64 // what is to be granted
	isLeaseRequest bool    // requests may wait for the reply; leaseUnits may still be 0
	carriedOver    bool    // adjustment is the level that a window takes over from the one before
}

// amount returns what the counter is to add.
func (call *counterCall) amount() float64 { return call.spent + call.adjustment + call.leaseUnits }

// counterState is what is known of the counter service, and the calls to it.
type counterState struct {
	pending     map[uint64][]counterCall // by name, in the order of the calls
	lastCallID  uint64
	unanswered  []counterCall // calls that timed out lately, oldest first
	failureRate float64       // share of recent calls that failed
}

// pendingCalls counts the calls of one customer to the counter whose replies are due.
type pendingCalls struct {
	pending              int // of any kind
	pendingLeaseRequests int // of these, calls for a lease
}

// add counts a call (n is 1), or its reply (n is -1).
func (p *pendingCalls) add(call counterCall, n int) {
	p.pending += n
	if call.isLeaseRequest {
		p.pendingLeaseRequests += n
	}
}

// newReport returns a call for the window that was entered last, which reports what has been spent. What it
// reports counts as reported from now on.
func (c *customer) newReport(refill float64) counterCall {
	call := counterCall{
		customer: c,
		name:     c.window.name,
		window:   c.window.number,
		refill:   refill,
		spent:    c.unreportedUnits,
	}
	c.unreportedUnits = 0
	return call
}

// newCorrection returns a call that adds units to the total of an earlier call.
func (call *counterCall) newCorrection(units float64) counterCall {
	return counterCall{customer: call.customer, name: call.name, window: call.window, adjustment: units}
}

// callCounter makes a call. Replies for one name come in the order of the calls.
func (e *Engine) callCounter(call counterCall) {
	e.counter.lastCallID++
	call.id = e.counter.lastCallID
	e.counter.pending[call.name] = append(e.counter.pending[call.name], call)
	call.customer.calls.add(call, 1)
	e.emit(CounterAdd{Call: call.id, Name: call.name, Amount: call.amount(), TTL: counterNameTTL})
}

// takePendingCall removes and returns the oldest call for a name: the one that a reply answers. ok is false
// where none is pending.
func (e *Engine) takePendingCall(name uint64) (call counterCall, ok bool) {
	pending := e.counter.pending[name]
	if len(pending) == 0 {
		return counterCall{}, false
	}
	call = pending[0]
	if len(pending) == 1 {
		delete(e.counter.pending, name)
	} else {
		e.counter.pending[name] = pending[1:]
	}
	call.customer.calls.add(call, -1)
	return call, true
}

// rememberUnanswered keeps a call that timed out, in case its reply comes late. The oldest goes where there
// are too many.
func (s *counterState) rememberUnanswered(call counterCall) {
	excess := max(len(s.unanswered)+1-maxUnansweredCalls, 0)
	s.unanswered = append(s.unanswered[excess:], call)
}

// takeUnanswered removes and returns the call of an id that timed out. ok is false where it isn't known any
// more.
func (s *counterState) takeUnanswered(id uint64) (call counterCall, ok bool) {
	at := slices.IndexFunc(s.unanswered, func(call counterCall) bool { return call.id == id })
	if at < 0 {
		return counterCall{}, false
	}
	call = s.unanswered[at]
	s.unanswered = slices.Delete(s.unanswered, at, at+1)
	return call, true
}
