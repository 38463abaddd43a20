package policy

import "slices"

const (
	counterNameTTL     = 60.0 // seconds for which the counter keeps a name: longer than a window
	maxUnansweredCalls = 64   // timed-out calls that are remembered, in case the reply comes late
)

// counterCall is a pending CounterAdd. Its amounts are in units, and the counter adds their sum to the
// total of a window.
type counterCall struct {
	id             uint64
	customer       *customer
	name           uint64  // of the window's total at the counter
	window         float64 // number of the window
	refill         float64 // of the window when the call was made
	spent          float64 // the report: units that have been spent; below 0: units returned
	adjustment     float64 // overflow, or a correction of the total, which may be below 0
	leaseUnits     float64 // the lease that is requested, charged in advance
	isLeaseRequest bool    // requests wait for the reply; leaseUnits is 0 in a call that only reads the total
	carriedOver    bool    // adjustment carries the balance of the window before into this window
}

// amount returns the units that the counter is to add.
func (call *counterCall) amount() float64 { return call.spent + call.adjustment + call.leaseUnits }

// counterState holds the calls to the counter service and their recent failure rate.
type counterState struct {
	pending     map[uint64][]counterCall // by name, in the order of the calls
	lastCallID  uint64
	unanswered  []counterCall // calls that timed out lately, oldest first
	failureRate float64       // share of recent calls that failed through overload
}

// pendingCalls counts the pending calls of one customer.
type pendingCalls struct {
	pending              int // of any kind
	pendingLeaseRequests int // of these, requests for a lease
}

// add counts a call that begins (n is 1) or ends (n is -1).
func (p *pendingCalls) add(call counterCall, n int) {
	p.pending += n
	if call.isLeaseRequest {
		p.pendingLeaseRequests += n
	}
}

// newReport returns a call for the present window that reports the unreported units, and marks them as
// reported.
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

// newCorrection returns a call that corrects by units the total to which an earlier call added.
func (call *counterCall) newCorrection(units float64) counterCall {
	return counterCall{customer: call.customer, name: call.name, window: call.window, adjustment: units}
}

// callCounter makes a call. Replies for one name arrive in the order of the calls.
func (e *Engine) callCounter(call counterCall) {
	e.counter.lastCallID++
	call.id = e.counter.lastCallID
	e.counter.pending[call.name] = append(e.counter.pending[call.name], call)
	call.customer.calls.add(call, 1)
	e.emit(CounterAdd{CallID: call.id, Name: call.name, Amount: call.amount(), TTL: counterNameTTL})
}

// takePendingCall removes and returns the oldest pending call for a name, which the next reply answers. ok is
// false if none is pending.
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

// rememberUnanswered keeps a call that timed out, in case its reply comes late. Beyond maxUnansweredCalls it
// drops the oldest.
func (s *counterState) rememberUnanswered(call counterCall) {
	excess := max(len(s.unanswered)+1-maxUnansweredCalls, 0)
	s.unanswered = append(s.unanswered[excess:], call)
}

// takeUnanswered removes and returns the timed-out call with the given id. ok is false if it has been
// dropped.
func (s *counterState) takeUnanswered(id uint64) (call counterCall, ok bool) {
	at := slices.IndexFunc(s.unanswered, func(call counterCall) bool { return call.id == id })
	if at < 0 {
		return counterCall{}, false
	}
	call = s.unanswered[at]
	s.unanswered = slices.Delete(s.unanswered, at, at+1)
	return call, true
}
