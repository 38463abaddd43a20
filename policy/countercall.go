package policy

import "slices"

const (
	counterNameTTL     = 60.0 // seconds for which the counter keeps a name; longer than a refilling window
	maxUnansweredCalls = 64   // largest number of timed-out calls that are kept for a late reply
)

// counterCall is a call to the counter, made by a CounterAdd. The counter adds the sum of spent, adjustment
// and leaseUnits, all in units, to the total of a window.
type counterCall struct {
	id             uint64
	customer       *customer
	name           uint64  // name of the window's total at the counter
	window         float64 // number of the window
	refill         float64 // units; the window's refill when the call, or the call that it corrects, was made
	spent          float64 // units that the call reports as spent; below 0: units that it returns
	adjustment     float64 // units of overflow, or a correction of the total, which may be below 0
	leaseUnits     float64 // units of the requested lease; 0: no lease is requested
	isLeaseRequest bool    // the call was made for waiting requests, to request a lease or to read the total
	carriedOver    bool    // adjustment includes the balance that is carried over from the window before
}

// amount returns the units that the counter is to add.
func (call *counterCall) amount() float64 { return call.spent + call.adjustment + call.leaseUnits }

// counterState holds the pending and timed-out calls to the counter service, and their recent failure rate.
type counterState struct {
	pending     map[uint64][]counterCall // by name, oldest call first
	lastCallID  uint64
	unanswered  []counterCall // timed-out calls whose reply may still come, oldest first
	failureRate float64       // share of recent calls that failed through overload
}

// pendingCalls counts the pending calls of one customer.
type pendingCalls struct {
	pending              int // all pending calls
	pendingLeaseRequests int // the pending calls for which isLeaseRequest is set
}

// add adds n to the counts that apply to a call. n is 1 when the call is made, and -1 when it has ended.
func (p *pendingCalls) add(call counterCall, n int) {
	p.pending += n
	if call.isLeaseRequest {
		p.pendingLeaseRequests += n
	}
}

// newReport returns a call for the present window that reports the unreported units, and sets
// unreportedUnits to 0.
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

// newCorrection returns a call that changes the total of the receiver's window by the given units, which may
// be below 0.
func (call *counterCall) newCorrection(units float64) counterCall {
	return counterCall{customer: call.customer, name: call.name, window: call.window, adjustment: units}
}

// callCounter makes a call to the counter. Replies for the same name arrive in the order of the calls.
func (e *Engine) callCounter(call counterCall) {
	e.counter.lastCallID++
	call.id = e.counter.lastCallID
	e.counter.pending[call.name] = append(e.counter.pending[call.name], call)
	call.customer.calls.add(call, 1)
	e.emit(CounterAdd{CallID: call.id, Name: call.name, Amount: call.amount(), TTL: counterNameTTL})
}

// takePendingCall removes and returns the oldest pending call for a name, to which the next reply for that
// name belongs. ok is false if no call is pending for the name.
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

// rememberUnanswered keeps a call that timed out, in case its reply comes late. It drops the oldest call if
// there are already maxUnansweredCalls calls.
func (s *counterState) rememberUnanswered(call counterCall) {
	excess := max(len(s.unanswered)+1-maxUnansweredCalls, 0)
	s.unanswered = append(s.unanswered[excess:], call)
}

// takeUnanswered removes and returns the timed-out call with the given id. ok is false if the call has been
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
