package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
)

// A fleet of modules on a made-up clock, before backends that queue.
type coldFleet struct {
	set       Settings
	now       float64
	rng       *rand.Rand
	gateways  []*Engine
	weights   []float64 // of the traffic, by gateway
	pending   fleetEvents
	servers   map[BackendID]*coldServer
	nextID    RequestID
	arrived   float64
	cores     float64 // of a backend
	sendsCold int
}

// coldServer takes requests on at the rate that its cores bear, and holds so many more.
type coldServer struct {
	born  float64
	free  float64   // when the next request can begin
	sends []float64 // times at which one was sent to it while cold
}

const (
	burst     = 3.0 // times the traffic before
	coldWork  = 0.2 // seconds a request, mean
	coldQueue = 3.0 // times that work: what waits longer is turned away
)

type fleetEvent struct {
	at float64
	by int
	ev Event
}

type fleetEvents []fleetEvent

func (h fleetEvents) Len() int { return len(h) }

func (h fleetEvents) Less(i, j int) bool { return h[i].at < h[j].at }

func (h fleetEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *fleetEvents) Push(x any) { *h = append(*h, x.(fleetEvent)) }

func (h *fleetEvents) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

func (f *coldFleet) handle(by int, ev Event) {
	for _, a := range f.gateways[by].Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case SendAttempt:
			f.send(by, a)
		case SetTimer:
			heap.Push(&f.pending, fleetEvent{f.now + a.Delay, by, TimerFired{Token: a.Token}})
		}
	}
}

func (f *coldFleet) send(by int, a SendAttempt) {
	s := f.servers[a.Backend]
	share := 1.0
	if s.born > 0 {
		share = min(f.set.SlowStartMinShare+(1-f.set.SlowStartMinShare)*(f.now-s.born)/f.set.SlowStartWindow, 1)
		if share < 1 {
			s.sends = append(s.sends, f.now)
			f.sendsCold++
		}
	}
	end := AttemptEnded{Request: a.Request, Backend: a.Backend}
	took := 0.001
	if start := max(s.free, f.now); start-f.now > coldQueue*coldWork {
		end.Outcome = Rejected
	} else {
		work := f.rng.ExpFloat64() * coldWork
		s.free = start + work/(f.cores*share)
		took = start + work - f.now
	}
	end.Latency, end.RequestOver = took, end.Outcome == Served
	heap.Push(&f.pending, fleetEvent{f.now + took, by, end})
}

// run plays traffic of so many requests a second up to a time.
func (f *coldFleet) run(till, rate float64) {
	const step = 0.005
	total := 0.0
	for _, w := range f.weights {
		total += w
	}
	for ; f.now < till; f.now += step {
		for len(f.pending) > 0 && f.pending[0].at <= f.now {
			e := heap.Pop(&f.pending).(fleetEvent)
			f.handle(e.by, e.ev)
		}
		for f.arrived += rate * step; f.arrived > 0; f.arrived -= f.rng.ExpFloat64() {
			x, by := f.rng.Float64()*total, 0
			for x -= f.weights[0]; x > 0 && by < len(f.weights)-1; x -= f.weights[by] {
				by++
			}
			f.nextID++
			f.handle(by, Request{ID: f.nextID, Units: 1, Gateways: 1, Customer: CustomerID(f.nextID), Deadline: f.now + 2})
		}
	}
}

// worst is by how much a cold backend was sent too much at worst in any window: above 0, it may fall.
func (f *coldFleet) worst() (over float64, sent int, budget float64) {
	over = math.Inf(-1)
	for _, s := range f.servers {
		for i, from := 0, 0; i < len(s.sends); i++ {
			for s.sends[i]-s.sends[from] > f.set.OverloadDuration {
				from++
			}
			since := max(s.sends[i]-f.set.OverloadDuration, s.born)
			mean := f.set.SlowStartMinShare + (1-f.set.SlowStartMinShare)*((since+s.sends[i])/2-s.born)/f.set.SlowStartWindow
			n := f.set.OverloadFactor * mean * f.cores / coldWork * f.set.OverloadDuration
			if x := float64(i-from+1) - (n + 2*math.Sqrt(n) + 2); x > over {
				over, sent, budget = x, i-from+1, n
			}
		}
	}
	return over, sent, budget
}

// A cold backend bears only so much from all gateways together, however uneven the traffic is, and also after
// a lull in which each of them could save up.
func TestFleetKeepsToTheBudgetOfAColdBackend(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		gateways, warm, cold int
		cores                float64
	}{{30, 12, 1, 4}, {30, 12, 12, 4}, {20, 1, 12, 4}, {30, 0, 10, 4}, {30, 4, 2, 1}, {30, 1, 12, 1}} {
		toCold := 0
		for n := range uint64(12) {
			use, zipf, lull, seed := []float64{0.3, 0.95}[n%2], []float64{0, 1.2}[n/2%2], []float64{0, 1, 6}[n/4], n
			f := playCold(c.gateways, c.warm, c.cold, c.cores, use, zipf, lull, seed)
			toCold += f.sendsCold
			if over, sent, budget := f.worst(); over > 0 {
				t.Errorf("%+v, use %g, zipf %g, lull %g s, seed %d: %d sends in a window of a budget of %.1f",
					c, use, zipf, lull, seed, sent, budget)
			}
		}
		if toCold == 0 {
			t.Errorf("%+v: cold backends get nothing", c)
		}
	}
}

// playCold starts cold backends under traffic of some use of the warm ones, has a lull, and then a burst whose
// clients come to other gateways than before.
func playCold(gateways, warm, cold int, cores, use, zipf, lull float64, seed uint64) *coldFleet {
	set := testSettings()
	set.FleetSize, set.Plans = gateways, []Plan{{WeightFactor: 1}} // no quota
	f := &coldFleet{set: set, cores: cores, now: 100, rng: rand.New(rand.NewPCG(seed, 1)), servers: map[BackendID]*coldServer{}}
	all := max(warm, cold) // so many are warm at first
	for i := range all + cold {
		f.servers[BackendID(i+1)] = &coldServer{}
	}
	for i := range gateways {
		g, _ := New(set, seed*1000+uint64(i), f.now, nil)
		f.gateways = append(f.gateways, g)
		f.weights = append(f.weights, math.Pow(float64(i+1), -zipf))
		f.handle(i, EndpointsUpdated{Kind: FullList, Entries: some(all)})
		f.handle(i, timerFired(maintenanceTimer, 0))
	}
	f.run(106, use*float64(all)*cores/coldWork)
	list := some(warm)
	for i := range cold {
		b := ready(BackendID(all + i + 1))
		b.StartedAt = f.now
		f.servers[b.ID].born = f.now
		list = append(list, b)
	}
	for i := range gateways {
		f.handle(i, EndpointsUpdated{Kind: FullList, Entries: list})
	}
	rate := use * float64(all) * cores / coldWork // clients stay, whatever becomes of backends
	f.run(107, rate)
	if lull > 0 {
		f.run(107+lull, 0)
		f.rng.Shuffle(gateways, func(i, j int) { f.weights[i], f.weights[j] = f.weights[j], f.weights[i] })
		rate *= burst
	}
	f.run(f.now+4, rate)
	return f
}

func TestColdBackendGetsNoBurst(t *testing.T) {
	cold := Backend{ID: 9, State: Ready, StartedAt: 99.9}
	d := start(t, testSettings(), append(some(1), cold)...)
	toCold := 0
	var out []SendAttempt
	for i := range 200 {
		d.now = 100 + float64(i)*0.01
		d.ask(0, 1, CustomerID(i))
		for _, s := range find[SendAttempt](d.last) {
			if s.Backend == 9 {
				toCold++
			}
			out = append(out, s)
		}
		if len(out) > 3 { // each takes four steps
			d.handle(AttemptEnded{Request: out[0].Request, Backend: out[0].Backend, Latency: 0.04, RequestOver: true})
			out = out[1:]
		}
		d.handle(timerFired(maintenanceTimer, 0))
	}
	// A warm backend had 100 a second for two seconds; the cold one may do 20 to 36 of these.
	if toCold > 2*2*36 {
		t.Errorf("%d sends to a cold backend in 2 s", toCold)
	}
	if toCold == 0 {
		t.Error("a cold backend never gets anything and cannot take over")
	}
}

// A single gateway of 80 may send a cold backend one request in many seconds. All together keep to its share
// of what a warm one gets, and reach that share from the first second on, with no burst once all have saved up.
func TestManyGatewaysUseColdBackendsAtOnceAndEvenly(t *testing.T) {
	const gateways, warm, cold, rate, work = 80, 24, 36, 4.0, 0.2 // rate: requests a second at each gateway
	set := testSettings()
	set.FleetSize = gateways
	set.Plans = []Plan{{WeightFactor: 1}} // no quota
	now := 100.0
	var gs []*Engine
	for i := range gateways {
		g, _ := New(set, uint64(i+1), now, nil)
		g.Handle(now, EndpointsUpdated{Kind: CachedList, Entries: some(warm)}, nil)
		gs = append(gs, g)
	}
	type end struct {
		at float64
		e  AttemptEnded
	}
	out := make([][]end, gateways)
	rng := rand.New(rand.NewPCG(1, 1))
	id, born := RequestID(0), 0.0
	var toCold, toWarm [20]int // by second since the start of the cold ones
	step := func(i int, ev Event) {
		for _, s := range find[SendAttempt](gs[i].Handle(now, ev, nil)) {
			out[i] = append(out[i], end{now + work, AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: work}})
			if at := int(now - born); born > 0 && at < len(toCold) {
				if s.Backend > warm {
					toCold[at]++
				} else {
					toWarm[at]++
				}
			}
		}
	}
	for now < 116 {
		now += maintenanceInterval
		if born == 0 && now >= 106 {
			born = now
			var fresh []Backend
			for i := range cold {
				b := ready(BackendID(warm + 1 + i))
				b.StartedAt = born
				fresh = append(fresh, b)
			}
			for i := range gs {
				step(i, EndpointsUpdated{Kind: Delta, Entries: fresh})
			}
		}
		for i := range gs {
			for len(out[i]) > 0 && out[i][0].at <= now {
				e := out[i][0].e
				out[i] = out[i][1:]
				step(i, e)
			}
			step(i, timerFired(maintenanceTimer, 0))
			if rng.Float64() < rate*maintenanceInterval {
				id++
				step(i, Request{ID: id, Units: 1, Gateways: 1, Customer: CustomerID(id), Deadline: now + 2})
			}
		}
	}
	for s := range 8 {
		share := set.SlowStartMinShare + (1-set.SlowStartMinShare)*(float64(s)+0.5)/set.SlowStartWindow // of a warm one's, which it can bear
		each, usual := float64(toCold[s])/cold, float64(toWarm[s])/warm
		if each < 0.4*share*usual || each > 1.6*share*usual {
			t.Errorf("in second %d a cold backend got %.2f sends and a warm one %.2f, want a share of about %.2f",
				s, each, usual, share)
		}
	}
}
