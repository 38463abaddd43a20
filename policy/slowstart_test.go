package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
)

const (
	burstFactor           = 3.0 // of traffic after a lull, times the traffic before
	meanServiceTime       = 0.2 // seconds of a core that a request takes
	maxQueuedServiceTimes = 3.0 // times meanServiceTime: what would wait longer is rejected
)

// slowStartFleet is a fleet of engines on a simulated clock, before backends that queue.
type slowStartFleet struct {
	set            Settings
	now            float64
	rng            *rand.Rand
	gateways       []*Engine
	weights        []float64 // of the traffic, by gateway
	pending        scheduledEvents
	backends       map[BackendID]*simulatedBackend
	nextID         RequestID
	arrivals       float64 // requests that are due; the fraction carries over
	cores          float64 // of a backend
	slowStartSends int     // attempts at backends in slow start
}

// simulatedBackend takes requests on at the rate that its cores bear, and queues so many more.
type simulatedBackend struct {
	startedAt float64   // 0: warm
	freeAt    float64   // when the next request can begin
	sends     []float64 // times of the attempts that it got in slow start
}

// handle has a gateway handle an event and carries out its actions.
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

// send plays an attempt at its backend.
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

// capacityShare returns the share of its capacity that a backend has so many seconds after its start, above 1 once it
// is warm.
func (f *slowStartFleet) capacityShare(age float64) float64 {
	return f.set.SlowStartMinShare + (1-f.set.SlowStartMinShare)*age/f.set.SlowStartWindow
}

// run plays traffic of so many requests a second up to a time.
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

// pickGateway draws the gateway of a request by the weights of the traffic.
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

// worstWindow returns by how much a backend in slow start was sent too much at worst in any window (above 0, it may be
// overloaded), how much it was sent there, and what it could bear.
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

// A backend in slow start bears only so much from all gateways together, however uneven the traffic is, and also
// after a lull in which each of them could save up.
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
				t.Errorf("%+v, %+v, seed %d: %d sends in a window of a budget of %.1f", c, traffic, n, sent, budget)
			}
		}
		if sends == 0 {
			t.Errorf("%+v: backends in slow start get nothing", c)
		}
	}
}

// traffic is the load of a slowStartFleet.
type traffic struct {
	utilization float64 // share of the warm backends' capacity
	zipf        float64 // exponent of the gateways' weights; 0: all alike
	lull        float64 // seconds without traffic before the burst; 0: neither
}

// simulateSlowStart starts backends under traffic, has a lull, and then a burst whose clients come to other gateways than
// before.
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
	rate := load.utilization * float64(warmAtFirst) * cores / meanServiceTime // clients stay, whatever becomes of backends
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
	sends := 0 // at the one in slow start
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
		if len(inFlight) > 3 { // each takes four steps
			oldest := inFlight[0]
			inFlight = inFlight[1:]
			d.handle(AttemptEnded{Request: oldest.Request, Backend: oldest.Backend, Latency: 0.04, RequestOver: true})
		}
		d.handle(timerFired(maintenanceTimer, 0))
	}
	// A warm backend had 100 a second for two seconds; the one in slow start may do 20 to 36 of these.
	if sends > 2*2*36 {
		t.Errorf("%d sends to a backend in slow start in 2 s", sends)
	}
	if sends == 0 {
		t.Error("a backend in slow start never gets anything and cannot take over")
	}
}

// A single gateway of 80 may send a backend in slow start one request in many seconds. All together keep to its share
// of what a warm one gets, and reach that share from the first second on, with no burst once all have saved up.
func TestManyGatewaysUseBackendsInSlowStartAtOnceAndEvenly(t *testing.T) {
	const (
		gateways = 80
		warm     = 24
		starting = 36
		rate     = 4.0 // requests a second at each gateway
		work     = 0.2 // seconds a request
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
	startedAt := 0.0                     // of the backends in slow start; 0: not yet
	var sendsStarting, sendsWarm [20]int // by second since then
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
			handle(i, EndpointsUpdated{Kind: Delta, Entries: started})
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
		// The share of a warm one's attempts that one in slow start can bear.
		share := set.SlowStartMinShare + (1-set.SlowStartMinShare)*(float64(second)+0.5)/set.SlowStartWindow
		each := float64(sendsStarting[second]) / starting
		usual := float64(sendsWarm[second]) / warm
		if each < 0.4*share*usual || each > 1.6*share*usual {
			t.Errorf("in second %d a backend in slow start got %.2f sends and a warm one %.2f, want a share of about %.2f",
				second, each, usual, share)
		}
	}
}
