package policy

// What a gateway keeps between events, and plain bookkeeping on it. Nothing is
// decided here.

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Engine holds all that one gateway knows.
type Engine struct {
	settings         Settings
	now              float64
	rng              *rand.Rand
	actions          []Action // the actions of the event that is being handled
	startedAt        float64
	shutdownAnswerBy float64 // every request has to be answered by then; 0: no shutdown has begun
	lastMaintenance  float64

	requests       map[RequestID]*request
	queue          priorityQueue
	limiter        concurrencyLimiter
	latency        latencyStats
	retries        retryBudget
	clientTimeouts []clientTimeout // by class and plan
	backends       backendSet
	warmTraffic    warmTraffic
	customers      customerSet
	counter        counterState
}

// priorityQueue holds admitted requests until the concurrency limit lets them go. Its slices are indexed by level;
// a higher level is served first.
type priorityQueue struct {
	requests      [][]*request // each level in order of arrival
	weights       []float64    // the priority weight that makes a level, ascending
	arrivalRates  []float64    // requests a second
	arrivalCounts []float64    // requests since the last maintenance
}

// concurrencyLimiter bounds the attempts that this gateway has in flight.
type concurrencyLimiter struct {
	limit          float64
	lastCut        float64 // when the limit was last lowered
	inFlight       int
	meanInFlight   float64 // over limitAveragingWindow
	latencyRatio   float64 // mean of latency over objective
	latencyRatioAt float64 // when latencyRatio was last updated
}

// latencyStats is the mean latency of served attempts at all backends and its mean deviation, in seconds.
type latencyStats struct {
	mean      float64 // 0: no attempt has been served yet
	deviation float64
}

// retryBudget bounds the gateway's own retries and observes those of clients.
type retryBudget struct {
	tokens      float64
	clientShare float64 // share of arriving requests that are a client's retries
}

// backendSet is every backend of the endpoint list, and those removed from it that still have attempts in flight.
type backendSet struct {
	byID    map[BackendID]*backend
	ordered []*backend // by id
}

// warmTraffic is what this gateway sends to backends that are past their slow start.
type warmTraffic struct {
	sendRate  float64 // attempts a second to each
	sendCount int     // attempts since the last maintenance
}

// customerSet is every customer that was seen lately.
type customerSet struct {
	byID    map[CustomerID]*customer
	ordered []*customer // by first request
}

// counterState is what is known of the counter service and of the calls to it.
type counterState struct {
	pending     map[uint64][]counterCall // by name, in the order of the calls
	lastCallID  uint64
	unanswered  []counterCall // calls that timed out lately, oldest first
	failureRate float64       // share of recent calls that failed
}

// request is one request from its arrival until its last attempt has ended.
type request struct {
	Request
	class                         *Class
	customer                      *customer
	level                         int
	answerBy                      float64 // an answer after this earns nothing
	admitted, finished, streaming bool    // its units are taken; it is over; its answer has begun
	attempts                      []attempt
	attemptsInFlight              int
	mayHaveExecuted               bool     // an attempt may have run, or is out
	firstExecutableAt             float64  // when the first such was sent
	firstExecutableBackend        *backend // and where
}

// clientTimeouts is how long the clients of a class and plan wait for one try.
type clientTimeout struct{ latest, usual float64 }

type attempt struct {
	backend *backend
	sentAt  float64
	ended   bool
}

// abandonedAttempt is an attempt that was given up and may still take up its backend.
type abandonedAttempt struct {
	sentAt, expiresAt float64
	level             int
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
	cost                               float64 // as of the last pick
	nextTrialAt, trialInterval         float64
	slowStartTokens, slowStartTokensAt float64 // sends it may get while cold
}

// openRequest returns a request that is not over, or nil.
func (e *Engine) openRequest(id RequestID) *request {
	if req := e.requests[id]; req != nil && !req.finished {
		return req
	}
	return nil
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

func (g *Engine) setTimer(delay float64, kind uint64, attempt int, id RequestID) {
	g.emit(SetTimer{Delay: max(delay, 0), Token: kind<<56 | uint64(attempt)<<32 | uint64(id), Request: id})
}

// attemptFinished takes an attempt out of the counts of work in flight.
func (e *Engine) attemptFinished(b *backend, level int) {
	b.inFlight--
	b.inFlightByLevel[level]--
	e.limiter.inFlight--
}

// customer is the quota of one customer as this gateway sees it.
type customer struct {
	id                          CustomerID
	quota                       quotaAttributes
	lastSeen, demandRate        float64    // units a second, here
	openAttempts                int        // requests let in and not over, and further attempts
	waiting                     []*request // highest level first
	leasedUnits, leaseExpiresAt float64    // leased and not spent
	window                      float64    // number of the counter's window
	windowName                  uint64
	lastTotal                   float64 // the window's total as last seen
	unusedRefill, meanReport    float64 // of a reported store: refill found unused at the last look; a mean report
	remaining, remainingAt      float64 // what the store had then, and when that was
	sustainedRate, newestUnits  float64 // units a second, here, over leaseTargetDuration, without the newest request; that one's
	exhausted                   bool    // the last call found too little
	counterSeen                 bool    // the counter has told of it
	exhaustedUntil              float64
	unreportedUnits             float64 // spent in this window and not told
	pendingCalls                int     // calls out
	pendingLeases               int     // of these for units
	backoff, backoffUntil       float64 // pause after a failed call
	localTokens, localTokensAt  float64 // own share, for when the counter grants nothing
	fallbackTokens              float64 // what is added to it once a call has had no answer
}

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

// countCall keeps count of the calls that are out.
func (c *customer) countCall(call counterCall, n int) {
	c.pendingCalls += n
	if call.isLease {
		c.pendingLeases += n
	}
}

// phase spreads the ends of windows over customers.
func (c *customer) phase() float64 { return float64(hash(uint64(c.id))%1024) / 1024 }

// hash mixes a number; names of the counter must not collide.
func hash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// quotaAttributes are what a plan comes to for one customer at one gateway.
type quotaAttributes struct {
	smallGatewaySet         bool // its gateways are
	reportedStore           bool // its store is kept by reports of what own shares have spent
	refillsWithinWindow     bool // its window is: allowances grow with time
	admitsOverQuota         bool // what own shares let in beyond the quota earns more than it costs
	gatewayCount            float64
	overdraft               float64 // of such a store: units that the counter lends at once
	rate, allowance, window float64 // units a second, units a window, its length
	initialAllowance        float64 // the first allowance where nothing is known
	localRate, localBurst   float64
	initialLease            float64 // block
	concurrencyLimit        int
	localConcurrency        int // of the places, this gateway's own
}

// allocateState allocates what the levels and the settings call for.
func (e *Engine) allocateState(seed uint64) {
	e.rng = rand.New(rand.NewPCG(seed, seed>>1))
	e.requests = map[RequestID]*request{}
	e.backends.byID = map[BackendID]*backend{}
	e.customers.byID = map[CustomerID]*customer{}
	e.counter.pending = map[uint64][]counterCall{}
	e.queue.requests = make([][]*request, len(e.queue.weights))
	e.queue.arrivalRates = make([]float64, len(e.queue.weights))
	e.queue.arrivalCounts = make([]float64, len(e.queue.weights))
	e.clientTimeouts = make([]clientTimeout, len(e.settings.Classes)*len(e.settings.Plans))
}

// attemptStarted counts an attempt as work in flight.
func (e *Engine) attemptStarted(b *backend, level int) {
	b.inFlight++
	b.inFlightByLevel[level]++
	e.limiter.inFlight++
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
