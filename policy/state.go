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
	shutdownAnswerBy float64 // every request has to be answered by then; 0: no stop was asked for
	settings         Settings
	now              float64
	rng              *rand.Rand
	actions          []Action

	requests        map[RequestID]*request
	queues          [][]*request // by level, each in order of arrival
	levelWeights    []float64
	backends        map[BackendID]*backend
	backendList     []*backend // by id
	customers       map[CustomerID]*customer
	customerList    []*customer              // by first sight
	pendingCalls    map[uint64][]counterCall // out, by name, in order
	lastCallID      uint64
	unansweredCalls []counterCall // that ended with no answer lately, oldest first
	startedAt       float64

	concurrencyLimit, lastLimitCut float64 // most attempts in flight, and when that was last cut
	inFlight                       int
	meanInFlight                   float64 // mean of inFlight
	latencyRatio                   float64 // mean of latency over aim
	latencyRatioAt                 float64
	meanLatency, latencyDeviation  float64 // mean of answers and its mean deviation
	retryTokens                    float64 // saved up
	counterFailureRate             float64 // share of counter calls that fail
	clientRetryShare               float64 // share of tries that are a client's further ones
	warmSendRate                   float64 // own sends a second to a warm backend
	warmSendCount                  int
	lastMaintenance                float64
	clientTimeouts                 []clientTimeout
	arrivalRates, arrivalCounts    []float64 // by level: a second, and since lastMaintenance
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
	e.inFlight--
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
	e.backends = map[BackendID]*backend{}
	e.customers = map[CustomerID]*customer{}
	e.pendingCalls = map[uint64][]counterCall{}
	e.queues = make([][]*request, len(e.levelWeights))
	e.arrivalRates = make([]float64, len(e.levelWeights))
	e.arrivalCounts = make([]float64, len(e.levelWeights))
	e.clientTimeouts = make([]clientTimeout, len(e.settings.Classes)*len(e.settings.Plans))
}

// attemptStarted counts an attempt as work in flight.
func (e *Engine) attemptStarted(b *backend, level int) {
	b.inFlight++
	b.inFlightByLevel[level]++
	e.inFlight++
}

// findOrAddBackend finds a listed backend, or adds it to the list, which is kept by id.
func (e *Engine) findOrAddBackend(entry Backend) *backend {
	b := e.backends[entry.ID]
	if b == nil {
		b = &backend{Backend: entry, inFlightByLevel: make([]int, len(e.levelWeights)), slowStartTokensAt: e.now}
		e.backends[entry.ID] = b
		byID := func(b *backend, id BackendID) int { return cmp.Compare(b.ID, id) }
		at, _ := slices.BinarySearchFunc(e.backendList, entry.ID, byID)
		e.backendList = slices.Insert(e.backendList, at, b)
	}
	return b
}

// dropRemovedBackends drops backends that are gone and have nothing in flight.
func (e *Engine) dropRemovedBackends() {
	e.backendList = slices.DeleteFunc(e.backendList, func(b *backend) bool {
		gone := b.State == Removed && b.inFlight == 0
		if gone {
			delete(e.backends, b.ID)
		}
		return gone
	})
}

// callCounter makes a call. Replies for one name come in the order of the calls.
func (e *Engine) callCounter(call counterCall, keep float64) {
	e.lastCallID++
	call.id = e.lastCallID
	e.pendingCalls[call.name] = append(e.pendingCalls[call.name], call)
	call.customer.countCall(call, 1)
	amount := call.spent + call.writeOff + call.leaseUnits
	e.emit(CounterAdd{Call: call.id, Name: call.name, Amount: amount, TTL: keep})
}

// takePendingCall takes the call that a reply answers off the list.
func (e *Engine) takePendingCall(name uint64) (call counterCall, ok bool) {
	out := e.pendingCalls[name]
	if len(out) == 0 {
		return call, false
	}
	if call, e.pendingCalls[name] = out[0], out[1:]; len(out) == 1 {
		delete(e.pendingCalls, name)
	}
	call.customer.countCall(call, -1)
	return call, true
}
