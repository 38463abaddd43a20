package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
)

const (
	burstFactor           = 3.0 // traffic after the lull, as a multiple of the traffic before
	meanServiceTime       = 0.2 // mean CPU seconds of a request
	maxQueuedServiceTimes = 3.0 // longest queueing delay that a backend accepts, as a multiple of meanServiceTime
)

// slowStartFleet simulates gateways and the backends that they share, on a simulated clock.
type slowStartFleet struct {
	set            Settings
	now            float64
	rng            *rand.Rand
	gateways       []*Engine
	weights        []float64 // relative traffic of each gateway
	pending        scheduledEvents
	backends       map[BackendID]*simulatedBackend
	nextID         RequestID
	arrivals       float64 // requests that are due; a fraction is carried over to the next step
	cores          float64 // cores of each backend
	slowStartSends int     // attempts at backends in slow start
}

// simulatedBackend processes requests at the rate that its cores allow. It queues the other requests, or rejects them
// if the wait would be too long.
type simulatedBackend struct {
	startedAt float64   // clock time at which the backend started; 0: warm
	freeAt    float64   // clock time at which the next request can begin
	sends     []float64 // clock times of the attempts sent to the backend during its slow start
}

// handle passes an event to a gateway and carries out its actions.
func (f *slowStartFleet) handle(gateway int, event Event) {
	for _, a := range f.gateways[gateway].Handle(f.now, event, nil) {
		switch a := a.(type) {
		case SendAttempt:
			f.send(gateway, a)
		case SetTimer:
			heap.Push(&f.pending, scheduledEvent{f.now + a.Delay, gateway, TimerFired{Token: a.Token}})
		}
	}
}

// send simulates an attempt at its backend.
func (f *slowStartFleet) send(gateway int, a SendAttempt) {
	b := f.backends[a.Backend]
	share := 1.0
	if b.startedAt > 0 {
		share = min(f.capacityShare(f.now-b.startedAt), 1)
		if share < 1 {
			b.sends = append(b.sends, f.now)
			f.slowStartSends++
		}
	}
	end := AttemptEnded{Request: a.Request, Backend: a.Backend}
	latency := 0.001
	if start := max(b.freeAt, f.now); start-f.now > maxQueuedServiceTimes*meanServiceTime {
		end.Outcome = Rejected
	} else {
		work := f.rng.ExpFloat64() * meanServiceTime
		b.freeAt = start + work/(f.cores*share)
		latency = start + work - f.now
	}
	end.Latency = latency
	end.RequestOver = end.Outcome == Served
	heap.Push(&f.pending, scheduledEvent{f.now + latency, gateway, end})
}

// capacityShare returns the share of its full capacity that a backend has at an age. The age is the number of seconds
// since the backend's start. The result exceeds 1 once the backend is warm.
func (f *slowStartFleet) capacityShare(age float64) float64 {
	return f.set.SlowStartMinShare + (1-f.set.SlowStartMinShare)*age/f.set.SlowStartWindow
}

// run simulates traffic at a constant rate, in requests per second. It ends when the clock time reaches the parameter
// until.
func (f *slowStartFleet) run(until, rate float64) {
	const step = 0.005
	for ; f.now < until; f.now += step {
		for len(f.pending) > 0 && f.pending[0].at <= f.now {
			e := heap.Pop(&f.pending).(scheduledEvent)
			f.handle(e.gateway, e.event)
		}
		for f.arrivals += rate * step; f.arrivals > 0; f.arrivals -= f.rng.ExpFloat64() {
			gateway := f.pickGateway()
			f.nextID++
			f.handle(gateway, Request{ID: f.nextID, Units: 1, Gateways: 1, Customer: CustomerID(f.nextID), Deadline: f.now + 2})
		}
	}
}

// pickGateway draws the gateway of a request at random, by the gateways' weights.
func (f *slowStartFleet) pickGateway() int {
	total := 0.0
	for _, w := range f.weights {
		total += w
	}
	x := f.rng.Float64() * total
	gateway := 0
	for x -= f.weights[0]; x > 0 && gateway < len(f.weights)-1; x -= f.weights[gateway] {
		gateway++
	}
	return gateway
}

// worstWindow examines all windows of length OverloadDuration at all backends in slow start. The budget of a window is
// the number of attempts that overloads the backend. The excess is the number of attempts sent in the window, minus the
// budget and minus a margin for random variation. worstWindow returns the values of the window with the largest excess.
// An excess above 0 means that the backend may be overloaded.
func (f *slowStartFleet) worstWindow() (excess float64, sent int, budget float64) {
	excess = math.Inf(-1)
	for _, b := range f.backends {
		from := 0
		for i, at := range b.sends {
			for at-b.sends[from] > f.set.OverloadDuration {
				from++
			}
			begin := max(at-f.set.OverloadDuration, b.startedAt)
			meanShare := f.capacityShare((begin+at)/2 - b.startedAt)
			n := f.set.OverloadFactor * meanShare * f.cores / meanServiceTime * f.set.OverloadDuration
			if x := float64(i-from+1) - (n + 2*math.Sqrt(n) + 2); x > excess {
				excess, sent, budget = x, i-from+1, n
			}
		}
	}
	return excess, sent, budget
}

// All gateways together must not overload a backend in slow start, however unevenly the traffic is distributed over the
// gateways. This holds even after a lull in which each gateway could save up tokens.
func TestFleetKeepsToSlowStartBudget(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		gateways, warm, starting int
		cores                    float64
	}{{30, 12, 1, 4}, {30, 12, 12, 4}, {20, 1, 12, 4}, {30, 0, 10, 4}, {30, 4, 2, 1}, {30, 1, 12, 1}} {
		sends := 0
		for n := range uint64(12) {
			traffic := traffic{
				utilization: []float64{0.3, 0.95}[n%2],
				zipf:        []float64{0, 1.2}[n/2%2],
				lull:        []float64{0, 1, 6}[n/4],
			}
			f := simulateSlowStart(c.gateways, c.warm, c.starting, c.cores, traffic, n)
			sends += f.slowStartSends
			if excess, sent, budget := f.worstWindow(); excess > 0 {
				t.Errorf("%+v, %+v, seed %d: %d attempts in a window with a budget of %.1f", c, traffic, n, sent, budget)
			}
		}
		if sends == 0 {
			t.Errorf("%+v: backends in slow start got no attempts", c)
		}
	}
}

// traffic is the load of a slowStartFleet.
type traffic struct {
	utilization float64 // traffic without a burst, as a share of the capacity of the initial backends
	zipf        float64 // exponent of the Zipf distribution of the gateways' weights; 0: equal weights
	lull        float64 // seconds without traffic before the burst; 0: neither lull nor burst
}

// simulateSlowStart starts backends under traffic. With a lull, it then pauses the traffic and resumes it as a burst,
// which is distributed over the gateways in a different way.
func simulateSlowStart(gateways, warm, starting int, cores float64, load traffic, seed uint64) *slowStartFleet {
	set := testSettings()
	set.FleetSize = gateways
	set.Plans = []Plan{{WeightFactor: 1}} // no quota
	f := &slowStartFleet{
		set:      set,
		cores:    cores,
		now:      100,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		backends: map[BackendID]*simulatedBackend{},
	}
	warmAtFirst := max(warm, starting)
	for i := range warmAtFirst + starting {
		f.backends[BackendID(i+1)] = &simulatedBackend{}
	}
	for i := range gateways {
		engine, _ := New(set, seed*1000+uint64(i), f.now, nil)
		f.gateways = append(f.gateways, engine)
		f.weights = append(f.weights, math.Pow(float64(i+1), -load.zipf))
		f.handle(i, EndpointsUpdated{Kind: FullList, Entries: readyBackends(warmAtFirst)})
		f.handle(i, timerFired(maintenanceTimer, 0))
	}
	f.run(106, load.utilization*float64(warmAtFirst)*cores/meanServiceTime)
	list := readyBackends(warm)
	for i := range starting {
		b := readyBackend(BackendID(warmAtFirst + i + 1))
		b.StartedAt = f.now
		f.backends[b.ID].startedAt = f.now
		list = append(list, b)
	}
	for i := range gateways {
		f.handle(i, EndpointsUpdated{Kind: FullList, Entries: list})
	}
	rate := load.utilization * float64(warmAtFirst) * cores / meanServiceTime // same rate as before the change of backends
	f.run(107, rate)
	if load.lull > 0 {
		f.run(107+load.lull, 0)
		f.rng.Shuffle(gateways, func(i, j int) { f.weights[i], f.weights[j] = f.weights[j], f.weights[i] })
		rate *= burstFactor
	}
	f.run(f.now+4, rate)
	return f
}

func TestBackendInSlowStartGetsNoBurst(t *testing.T) {
	starting := Backend{ID: 9, State: Ready, StartedAt: 99.9}
	d := startEngine(t, testSettings(), append(readyBackends(1), starting)...)
	sends := 0 // attempts at the backend in slow start
	var inFlight []SendAttempt
	for i := range 200 {
		d.now = 100 + float64(i)*0.01
		d.sendRequest(0, 1, CustomerID(i))
		for _, s := range actionsOf[SendAttempt](d.lastActions) {
			if s.Backend == 9 {
				sends++
			}
			inFlight = append(inFlight, s)
		}
		if len(inFlight) > 3 { // each attempt takes four steps
			oldest := inFlight[0]
			inFlight = inFlight[1:]
			d.handle(AttemptEnded{Request: oldest.Request, Backend: oldest.Backend, Latency: 0.04, RequestOver: true})
		}
		d.handle(timerFired(maintenanceTimer, 0))
	}
	// The warm backend got at most 100 attempts per second for two seconds. In the same time, the capacity of the backend
	// in slow start grows from 20 to 36 attempts per second.
	if sends > 2*2*36 {
		t.Errorf("%d attempts at a backend in slow start in 2 s", sends)
	}
	if sends == 0 {
		t.Error("a backend in slow start got no attempts")
	}
}

// Each of 80 gateways may send a backend in slow start only one request in many seconds. From the first second on, all
// gateways together must send the backend about slowStartShare times the requests that a warm backend gets. The backend
// must not get a burst when all gateways have saved up a token.
func TestManyGatewaysUseBackendsInSlowStartAtOnceAndEvenly(t *testing.T) {
	const (
		gateways = 80
		warm     = 24
		starting = 36
		rate     = 4.0 // requests per second at each gateway
		work     = 0.2 // seconds per request
	)
	set := testSettings()
	set.FleetSize = gateways
	set.Plans = []Plan{{WeightFactor: 1}} // no quota
	now := 100.0
	var engines []*Engine
	for i := range gateways {
		engine, _ := New(set, uint64(i+1), now, nil)
		engine.Handle(now, EndpointsUpdated{Kind: CachedList, Entries: readyBackends(warm)}, nil)
		engines = append(engines, engine)
	}
	type pendingEnd struct {
		at    float64
		event AttemptEnded
	}
	inFlight := make([][]pendingEnd, gateways)
	rng := rand.New(rand.NewPCG(1, 1))
	id := RequestID(0)
	startedAt := 0.0                     // clock time at which the backends in slow start started; 0: not started yet
	var sendsStarting, sendsWarm [20]int // attempts by second since startedAt
	handle := func(i int, event Event) {
		for _, s := range actionsOf[SendAttempt](engines[i].Handle(now, event, nil)) {
			end := AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: work}
			inFlight[i] = append(inFlight[i], pendingEnd{now + work, end})
			if second := int(now - startedAt); startedAt > 0 && second < len(sendsStarting) {
				if s.Backend > warm {
					sendsStarting[second]++
				} else {
					sendsWarm[second]++
				}
			}
		}
	}
	startBackends := func() {
		startedAt = now
		var started []Backend
		for i := range starting {
			b := readyBackend(BackendID(warm + 1 + i))
			b.StartedAt = startedAt
			started = append(started, b)
		}
		for i := range engines {
			handle(i, EndpointsUpdated{Kind: DeltaList, Entries: started})
		}
	}
	for now < 116 {
		now += maintenanceInterval
		if startedAt == 0 && now >= 106 {
			startBackends()
		}
		for i := range engines {
			for len(inFlight[i]) > 0 && inFlight[i][0].at <= now {
				end := inFlight[i][0].event
				inFlight[i] = inFlight[i][1:]
				handle(i, end)
			}
			handle(i, timerFired(maintenanceTimer, 0))
			if rng.Float64() < rate*maintenanceInterval {
				id++
				handle(i, Request{ID: id, Units: 1, Gateways: 1, Customer: CustomerID(id), Deadline: now + 2})
			}
		}
	}
	for second := range 8 {
		// The capacity of a backend in slow start, as a share of the capacity of a warm backend.
		share := set.SlowStartMinShare + (1-set.SlowStartMinShare)*(float64(second)+0.5)/set.SlowStartWindow
		sendsPerStarting := float64(sendsStarting[second]) / starting
		sendsPerWarm := float64(sendsWarm[second]) / warm
		if sendsPerStarting < 0.4*share*sendsPerWarm || sendsPerStarting > 1.6*share*sendsPerWarm {
			t.Errorf("second %d: a backend in slow start got %.2f attempts and a warm one %.2f, want a share of about %.2f",
				second, sendsPerStarting, sendsPerWarm, share)
		}
	}
}
