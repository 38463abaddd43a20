package policy

// Calls to the counter.
const (
	counterNameTTL     = 60.0 // seconds a name lives: longer than its window
	maxUnansweredCalls = 64   // calls with no answer that are remembered, should one come late
)

// counterCall is one Count whose reply is due.
type counterCall struct {
	id          uint64
	customer    *customer
	name        uint64
	window      float64
	refill      float64 // total at which the store is full
	spent       float64 // spent already
	writeOff    float64 // refill that nobody has used, written off
	leaseUnits  float64 // asked for
	isLease     bool    // a request may wait for it
	carriedOver bool    // fill is what a window takes over from the last
}

// counterState is what is known of the counter service and of the calls to it.
type counterState struct {
	pending     map[uint64][]counterCall // by name, in the order of the calls
	lastCallID  uint64
	unanswered  []counterCall // calls that timed out lately, oldest first
	failureRate float64       // share of recent calls that failed
}

// countCall keeps count of the calls that are out.
func (c *customer) countCall(call counterCall, n int) {
	c.calls.pending += n
	if call.isLease {
		c.calls.pendingLeases += n
	}
}

// callCounter makes a call. Replies for one name come in the order of the calls.
func (e *Engine) callCounter(call counterCall, keep float64) {
	e.counter.lastCallID++
	call.id = e.counter.lastCallID
	e.counter.pending[call.name] = append(e.counter.pending[call.name], call)
	call.customer.countCall(call, 1)
	amount := call.spent + call.writeOff + call.leaseUnits
	e.emit(CounterAdd{Call: call.id, Name: call.name, Amount: amount, TTL: keep})
}

// takePendingCall takes the call that a reply answers off the list.
func (e *Engine) takePendingCall(name uint64) (call counterCall, ok bool) {
	out := e.counter.pending[name]
	if len(out) == 0 {
		return call, false
	}
	if call, e.counter.pending[name] = out[0], out[1:]; len(out) == 1 {
		delete(e.counter.pending, name)
	}
	call.customer.countCall(call, -1)
	return call, true
}

// pendingCalls counts the calls to the counter whose replies are due.
type pendingCalls struct {
	pending       int // of any kind
	pendingLeases int // of these, calls that ask for a lease
}
