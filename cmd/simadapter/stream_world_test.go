package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// The world of the seeded streams in stream_test.go: the deployment, its backends, clients and counter.

// simSettings are the settings of a deployment, as the wire states them.
type simSettings struct {
	Allowed     simAllowed         `json:"allowed"`
	Classes     []simClass         `json:"classes"`
	Packages    []simPlan          `json:"packages"`
	Discovery   string             `json:"discovery"`
	FamilyInfo  simFamily          `json:"familyInfo"`
	FleetSize   int                `json:"fleetSize"`
	Rank        int                `json:"rank"`
	Kinds       []string           `json:"kinds"`
	Localities  []string           `json:"localities"`
	Locality    int                `json:"locality"`
	LoadReport  simLoadReport      `json:"loadReport"`
	Obligations simObligations     `json:"obligations"`
	Prices      map[string]float64 `json:"prices"`
	TickS       float64            `json:"tickS"`
	Weights     string             `json:"weights"`
}

type simAllowed struct {
	Cancel          bool    `json:"cancel"`
	ConnectTimeoutS float64 `json:"connectTimeoutS"`
	MaxOpen         int     `json:"maxOpen"`
	MaxRetryAfterS  float64 `json:"maxRetryAfterS"`
	MayDuplicate    bool    `json:"mayDuplicate"`
	MostTries       int     `json:"mostTries"`
	Probes          bool    `json:"probes"`
	RetryAfter      bool    `json:"retryAfter"`
}

type simClass struct {
	AimStretch float64 `json:"aimStretch,omitempty"`
	DeadlineS  float64 `json:"deadlineS"`
	Effect     string  `json:"effect"`
	KeyScope   string  `json:"keyScope"`
	LateWorth  float64 `json:"lateWorth"`
	Name       string  `json:"name"`
	ObjectiveS float64 `json:"objectiveS"`
	Points     float64 `json:"points"`
	Streamed   bool    `json:"streamed"`
	WindowS    float64 `json:"windowS"`
}

type simPlan struct {
	AtOnce        int     `json:"atOnce"`
	BeyondCosts   float64 `json:"beyondCosts"`
	CapSlack      float64 `json:"capSlack"`
	CeilingBurst  float64 `json:"ceilingBurst"`
	Depth         float64 `json:"depth"`
	Name          string  `json:"name"`
	NeverOverRate float64 `json:"neverOverRate"`
	OverWorth     float64 `json:"overWorth"`
	Pays          float64 `json:"pays"`
	UnitsPerS     float64 `json:"unitsPerS"`
}

type simFamily struct {
	CounterPrice    float64 `json:"counterPrice"`
	CounterTimeoutS float64 `json:"counterTimeoutS"`
	HasCounter      bool    `json:"hasCounter"`
	MostUnits       int     `json:"mostUnits"`
	TruedUp         bool    `json:"truedUp"`
}

type simLoadReport struct {
	Fields []string `json:"fields"`
	How    string   `json:"how"`
}

type simObligations struct {
	AnswerSlackS float64 `json:"answerSlackS"`
	AskEveryS    float64 `json:"askEveryS"`
	ColdFrom     float64 `json:"coldFrom"`
	ColdS        float64 `json:"coldS"`
	DrainGraceS  float64 `json:"drainGraceS"`
	FallMultiple float64 `json:"fallMultiple"`
	OverloadForS float64 `json:"overloadForS"`
}

// draws are the random draws of a stream.
type draws struct{ *rand.Rand }

func (d draws) chance(p float64) bool             { return d.Float64() < p }
func (d draws) between(low, high float64) float64 { return low + (high-low)*d.Float64() }

func oneOf[T any](d draws, values ...T) T { return values[d.IntN(len(values))] }

// settings draws a deployment. The size of the fleet and the use of a counter go round with the seed, so that
// few seeds meet them all.
func (d draws) settings(seed uint64) simSettings {
	s := simSettings{
		FleetSize: []int{3, 60, 1, 8, 5}[seed%5], TickS: oneOf(d, 0.004, 0.02, 0.04),
		Discovery: oneOf(d, "push", "ask"), Weights: oneOf(d, "off", "nominal", "rough", "live"),
		Kinds: []string{"small", "wide"}, Localities: []string{"east", "west", "north"}, Locality: d.IntN(3),
		Allowed: simAllowed{Cancel: d.chance(0.6), ConnectTimeoutS: 0.25, MaxOpen: 20000, MaxRetryAfterS: 0.5,
			MayDuplicate: d.chance(0.6), MostTries: 1 + d.IntN(5), Probes: d.chance(0.5), RetryAfter: d.chance(0.6)},
		FamilyInfo: simFamily{CounterPrice: 0.02, CounterTimeoutS: 0.08, HasCounter: seed%4 != 3,
			MostUnits: 1 + d.IntN(4), TruedUp: d.chance(0.3)},
		LoadReport: simLoadReport{[]string{"pending", "busy_reqs"}, oneOf(d, "inline", "on_probe", "off")},
		Obligations: simObligations{AnswerSlackS: 0.016, AskEveryS: 10, ColdFrom: d.between(0.1, 0.5),
			ColdS: oneOf(d, 0, 5.0, 13.0), DrainGraceS: 2, FallMultiple: 2, OverloadForS: 2},
		Prices: map[string]float64{"crossZone": oneOf(d, 0, 0.1), "waste": 0.05, "lateFail": 0.05, "probe": 0.01},
	}
	for _, c := range []struct{ effect, scope string }{{"repeatable", "all"}, {"repeatable", "all"}, {"once", "all"},
		{"by_key", "all"}, {"by_key", "zone"}, {"by_key", "cell"}} {
		aim := d.between(0.2, 2)
		s.Classes = append(s.Classes, simClass{AimStretch: oneOf(d, 0, 0, 2.0), DeadlineS: aim * d.between(1.5, 4),
			Effect: c.effect, KeyScope: c.scope, LateWorth: oneOf(d, 0, 0.4), ObjectiveS: aim,
			Name: fmt.Sprintf("class-%d", len(s.Classes)), Points: 1 + float64(d.IntN(8)),
			Streamed: c.effect != "by_key" && d.chance(0.4), WindowS: oneOf(d, 0.6, 0.9, 5.0)})
	}
	rate := d.between(0.5, 4)
	s.Packages = []simPlan{{},
		{UnitsPerS: rate, Depth: d.between(2, 16)},
		{UnitsPerS: 4 + 3*rate, Depth: d.between(5, 30)},
		{UnitsPerS: rate, Depth: d.between(3, 15), NeverOverRate: rate * d.between(1, 3), CeilingBurst: d.between(4, 30)},
		{UnitsPerS: 3 * rate, Depth: d.between(4, 15), NeverOverRate: 4 * rate, CeilingBurst: 400, OverWorth: 0.6},
		{AtOnce: 1 + d.IntN(8), UnitsPerS: oneOf(d, 0, rate)}, {AtOnce: 2, UnitsPerS: 2, Depth: 4},
		{UnitsPerS: 0.1, Depth: 1}}
	for i := range s.Packages {
		p := &s.Packages[i]
		p.Name, p.Pays, p.CapSlack = fmt.Sprintf("plan-%d", i), d.between(0.3, 2), 3
		p.BeyondCosts = oneOf(d, 0, 0.3, 1.2)
	}
	return s
}

// simBackend is an entry of the list with what the simulation knows of the backend besides.
type simBackend struct {
	id, version uint32 // the version counts its changes
	zone        uint8
	cell        int
	state       uint8
	weight      float64
	born        float64
	speed       float64
	health      string
	inFlight    int
}

type simCustomer struct {
	id            uint64
	plan          int
	first, spread int // its gateways
	pace          float64
}

type simAttempt struct {
	backend    *simBackend
	sentAt     float64
	out        bool
	mayHaveRun bool
}

type simRequest struct {
	id          uint32
	gateway     *simGateway
	life        int
	class       *simClass
	number      int
	customer    *simCustomer
	units       float64
	deadline    float64 // of this try
	patience    float64 // the clock time at which the client gives up altogether
	attempts    []simAttempt
	stream      int // 1 + the attempt whose stream has started
	streamIn    uint32
	over, owned bool   // it has ended; the instance ended it
	overIn      uint32 // the batch that ended it
}

type simCounter struct{ total, expires float64 }

type simCall struct {
	gateway int
	name    uint64
}

const (
	instanceCount = 3
	healthy       = "healthy"
)

// newSimulation draws the world of a seed and schedules what happens in it of itself.
func newSimulation(t *testing.T, seed uint64, seen map[uint8]int, in io.Writer, out io.Reader) *simulation {
	d := draws{rand.New(rand.NewPCG(seed, 1))}
	s := &simulation{draws: d, t: t, seed: seed, seen: seen, adapterIn: in, adapterOut: out, settings: d.settings(seed),
		requests: map[uint32]*simRequest{}, counter: map[uint64]simCounter{}, lastReply: map[simCall]float64{},
		now: d.between(5, 50)}
	s.until = s.now + d.between(60, 110)
	if s.settings.TickS < 0.01 {
		s.until = s.now + d.between(60, 70)
	}
	for range 3 + s.IntN(4) {
		s.addBackend(0)
	}
	s.remember()
	firstRank := s.IntN(s.settings.FleetSize)
	for i := range min(instanceCount, s.settings.FleetSize) {
		g := &simGateway{number: i, rank: (firstRank + i) % s.settings.FleetSize}
		s.gateways = append(s.gateways, g)
		s.after(s.Float64(), func() { s.attach(g) })
	}
	for i := range 3 * len(s.settings.Packages) {
		s.addCustomer(i % len(s.settings.Packages))
	}
	s.every(1.5, s.changeBackends)
	s.every(4, s.changeCounter)
	s.every(10, s.remember)
	s.every(0.5, s.strayEvent)
	s.every(30, s.restartGateway)
	return s
}

// every repeats something after random gaps.
func (s *simulation) every(mean float64, happen func()) {
	s.after(s.ExpFloat64()*mean, func() { happen(); s.every(mean, happen) })
}

// attach starts an instance with the list as it may have held it last.
func (s *simulation) attach(g *simGateway) {
	g.attached, g.subscribed, g.held = true, s.settings.Discovery == "push", map[uint32]simBackend{}
	g.life++
	settings := s.settings
	settings.Rank = g.rank
	text, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	g.part.start(eventAttach)
	g.part.u64(s.Uint64())
	g.part.u32(uint32(len(text)))
	g.part.data = append(g.part.data, text...)
	s.writeList(g, listCached, s.cached)
	if g.subscribed {
		s.sync(g, listFull)
	}
}

func (s *simulation) restartGateway() {
	g := s.gateways[s.IntN(len(s.gateways))]
	if !g.attached {
		return
	}
	g.attached = false
	g.part.start(eventTeardown)
	if s.chance(0.3) {
		s.attach(g)
	} else {
		s.after(s.between(0.5, 5), func() { s.attach(g) })
	}
}

func (s *simulation) addBackend(born float64) {
	s.backends = append(s.backends, &simBackend{id: s.Uint32(), version: 1, zone: uint8(s.IntN(3)), cell: s.IntN(2),
		state: stateReady, weight: s.between(0.5, 4), born: born, speed: s.between(0.02, 0.3), health: healthy})
}

// remember takes the list that instances hold over a restart.
func (s *simulation) remember() {
	s.cached = s.cached[:0]
	for _, b := range s.backends {
		s.cached = append(s.cached, *b)
	}
}

// changeBackends lets one backend change its health or its state, or a new one join.
func (s *simulation) changeBackends() {
	b := s.backends[s.IntN(len(s.backends))]
	b.health = oneOf(s.draws, healthy, healthy, healthy, "slow", "failing", "rejecting", "unreachable", "silent")
	ready := 0
	for _, other := range s.backends {
		if other.state == stateReady {
			ready++
		}
	}
	switch {
	case ready < 1 || ready < 8 && s.chance(0.12):
		s.addBackend(s.now)
	case s.chance(0.03):
		for _, other := range s.backends { // a deployment that replaces all processes at once
			if other.state == stateReady {
				other.born = s.now
				other.version++
			}
		}
	case b.state == stateReady && s.chance(0.12):
		b.born, b.health = s.now, healthy // it restarted
	case b.state == stateReady && s.chance(0.1):
		b.state = stateDraining
	case b.state == stateDraining && s.chance(0.5), s.chance(0.02):
		b.state = stateGone
	default:
		return
	}
	b.version++
	for _, g := range s.gateways {
		s.sync(g, oneOf[uint8](s.draws, listDelta, listDelta, listDelta, listFull))
	}
}

// sync has discovery tell an instance of changes, if it listens by then. A subscription may break.
func (s *simulation) sync(g *simGateway, form uint8) {
	life := g.life
	s.schedule(s.between(0.02, 0.6), true, func() {
		if !g.attached || g.life != life || !g.subscribed {
			return
		}
		if s.settings.Discovery == "ask" && s.chance(0.1) {
			g.subscribed = false
			form = listFailed
		}
		entries := make([]simBackend, 0, len(s.backends))
		for _, b := range s.backends {
			entries = append(entries, *b)
		}
		s.writeList(g, form, entries)
	})
}

// subscribe answers a call to discovery.
func (s *simulation) subscribe(g *simGateway) {
	if g.subscribed = s.chance(0.75); g.subscribed {
		s.sync(g, listFull)
		return
	}
	s.tell(g, s.between(0.01, 0.3), func(*frame) { s.writeList(g, listFailed, nil) })
}

// writeList writes what is news to an instance and keeps what it has been told.
func (s *simulation) writeList(g *simGateway, form uint8, truth []simBackend) {
	var entries []simBackend
	for _, b := range truth {
		old, listed := g.held[b.id]
		if form != listDelta && b.state != stateGone || form == listDelta && old.version != b.version &&
			(listed || b.state != stateGone) {
			entries = append(entries, b)
		}
	}
	f := &g.part
	if form != listFailed {
		if form != listDelta {
			g.held = map[uint32]simBackend{}
		}
		s.manifest = (s.manifest + 1) % maxManifests
		f.start(eventManifest)
		f.u32(s.manifest)
		f.u32(uint32(len(entries)))
		for _, b := range entries {
			g.held[b.id] = b
			f.entry(b)
		}
	}
	f.start(eventSync)
	f.u8(form)
	f.u32(s.batch)
	f.u32(s.manifest)
}

func (f *frame) entry(b simBackend) {
	f.u32(b.id)
	f.u8(b.zone)
	f.u16(0)
	f.u16(b.cell)
	f.u8(b.state)
	f.f32(b.weight)
	f.f64(b.born)
}

func (s *simulation) addCustomer(plan int) {
	fleet, near := s.settings.FleetSize, s.gateways[s.IntN(len(s.gateways))]
	spread := oneOf(s.draws, fleet, fleet, 1+s.IntN(fleet))
	c := &simCustomer{id: s.Uint64N(1 << 33), plan: plan, spread: spread,
		first: (near.rank - s.IntN(spread) + fleet) % fleet}
	s.changePace(c)
	s.customers = append(s.customers, c)
	s.after(s.ExpFloat64()*2, func() { s.arrive(c) })
}

// changePace draws how long a customer's requests are apart, from bursts to none for a minute.
func (s *simulation) changePace(c *simCustomer) {
	c.pace = oneOf(s.draws, 0.05, 0.3, 0.5, 1, 1, 2, 10, 70)
}

// arrive lets a request of a customer come in, and the next one later.
func (s *simulation) arrive(c *simCustomer) {
	if s.chance(0.03) || c.pace > 5 {
		s.changePace(c)
	}
	class := s.IntN(len(s.settings.Classes))
	units := float64(1 + s.IntN(s.settings.FamilyInfo.MostUnits))
	if s.chance(0.1) {
		units = s.between(0, units)
	}
	s.ask(c, class, units, s.now+s.settings.Classes[class].DeadlineS, false)
	s.after(s.ExpFloat64()*c.pace, func() { s.arrive(c) })
}

// ask has a client send a try to one of its customer's gateways. Some tries have less time than the client.
func (s *simulation) ask(c *simCustomer, class int, units, patience float64, repeat bool) {
	g := s.gateways[s.IntN(len(s.gateways))]
	fleet := s.settings.FleetSize
	place := (g.rank - c.first + fleet) % fleet
	if !g.attached || s.now >= patience || place >= c.spread && !s.chance(0.05) {
		return // unreachable, too late, or none of the customer's
	}
	s.nextRequest++
	req := &simRequest{id: s.nextRequest, gateway: g, life: g.life, class: &s.settings.Classes[class], number: class,
		customer: c, units: units, patience: patience, deadline: patience}
	if s.chance(0.1) {
		req.deadline = s.now + (patience-s.now)*s.Float64()
	}
	s.requests[req.id] = req
	f := &g.part
	f.start(eventAsk)
	f.u32(req.id)
	f.f32(float64(c.first))
	f.u16(c.plan)
	f.u64(c.id)
	f.f32(float64(c.spread))
	f.f32(units)
	f.u8(map[bool]uint8{true: flagClientRepeat}[repeat])
	f.u16(class)
	f.f64(req.deadline)
	s.after(req.deadline+s.settings.Obligations.AnswerSlackS+s.settings.TickS-s.now, func() {
		if req.alive() && !req.over && req.stream == 0 {
			s.fault(req, "no final answer")
		}
	})
	if s.chance(0.1) {
		s.after((req.deadline-s.now)*s.Float64(), func() { s.abort(req) })
	}
}

// abort has the client go. Its news may cross the end of the request.
func (s *simulation) abort(req *simRequest) {
	if !req.alive() {
		return
	}
	if !req.over {
		req.over, req.overIn = true, s.batch
	}
	req.gateway.part.start(eventAborted)
	req.gateway.part.u32(req.id)
}

// repeatLater has a client that was turned away try again, through any gateway.
func (s *simulation) repeatLater(req *simRequest, advice float64) {
	if pause := advice + s.ExpFloat64()*0.2; !req.over && s.chance(0.5) && s.now+pause < req.patience {
		s.after(pause, func() { s.ask(req.customer, req.number, req.units, req.patience, true) })
	}
}

// outcome draws how an attempt on a backend ends and when.
func (s *simulation) outcome(b *simBackend) (status uint8, took float64) {
	took = b.speed * s.between(0.5, 2) * (1 + float64(b.inFlight)/6)
	luck := s.Float64()
	switch {
	case b.state == stateGone || b.health == "unreachable":
		return statusConnectFailed, s.settings.Allowed.ConnectTimeoutS
	case b.state == stateDraining || b.health == "rejecting" && luck < 0.8 || b.inFlight > 30:
		return statusFull, 0.002
	case b.health == "silent" && luck < 0.9 || luck < 0.01:
		return statusTimeout, math.MaxFloat64
	case b.health == "failing" && luck < 0.5 || luck < 0.02:
		return oneOf[uint8](s.draws, statusError, statusReset), took * s.Float64()
	case b.health == "failing" && luck < 0.8 || luck < 0.04:
		return statusReset, s.between(0, 2) // after the backend had begun
	case b.health == "slow":
		took *= 8
	}
	return statusServed, took
}

// send starts an attempt and schedules its end, if it gets one.
func (s *simulation) send(req *simRequest, patience float64, id uint32) {
	at := slices.IndexFunc(s.backends, func(b *simBackend) bool { return b.id == id })
	if at < 0 {
		s.t.Fatalf("seed %d batch %d: no backend %d", s.seed, s.batch, id)
	}
	b, n := s.backends[at], len(req.attempts)
	s.checkSend(req, b)
	status, took := s.outcome(b)
	req.attempts = append(req.attempts, simAttempt{backend: b, sentAt: s.now, out: true, mayHaveRun: true})
	b.inFlight++
	limit := req.deadline - s.now
	if patience != 0 {
		limit = min(limit, max(patience, 0))
	}
	switch {
	case req.over || req.stream > 0:
		s.after(0, func() { s.finish(req, n, statusMoot) })
	case s.chance(0.01): // it never gets an end
	case took >= limit:
		s.after(limit, func() { s.finish(req, n, statusTimeout) })
	case req.class.Streamed && status == statusServed:
		s.after(took, func() { s.establish(req, n) })
	default:
		s.after(took, func() { s.finish(req, n, status) })
	}
}

// establish starts the stream of an attempt, if no other one of its request came first.
func (s *simulation) establish(req *simRequest, n int) {
	a := req.attempts[n]
	if !a.out || !req.alive() || req.over || req.stream > 0 {
		s.finish(req, n, statusCancelled)
		return
	}
	req.stream, req.streamIn = n+1, s.batch
	f := &req.gateway.part
	f.start(eventEstablished)
	f.u32(req.id)
	f.u32(a.backend.id)
	f.f64(s.now - a.sentAt)
	f.u8(uint8(n))
	status := oneOf[uint8](s.draws, statusServed, statusServed, statusServed, statusReset)
	s.after(s.ExpFloat64(), func() { s.finish(req, n, status) })
}

// finish ends an attempt that is still out.
func (s *simulation) finish(req *simRequest, n int, status uint8) {
	a := &req.attempts[n]
	if !a.out {
		return
	}
	a.out = false
	a.backend.inFlight--
	if !req.alive() {
		return
	}
	streams := req.stream == n+1
	if status == statusServed && !streams && (req.over || req.stream > 0) {
		status = statusCancelled
	}
	a.mayHaveRun = !provesNeverRan(status)
	if !req.over && (status == statusServed || streams) {
		req.over, req.overIn = true, s.batch
	}
	trueUnits := 0
	if s.settings.FamilyInfo.TruedUp && status == statusServed {
		trueUnits = s.IntN(2*s.settings.FamilyInfo.MostUnits + 1)
	}
	s.writeEnd(&req.gateway.part, req, n, status, trueUnits)
}

func (s *simulation) writeEnd(f *frame, req *simRequest, n int, status uint8, trueUnits int) {
	f.start(eventAttemptEnd)
	f.u32(req.id)
	f.u8(uint8(n))
	f.u32(req.attempts[n].backend.id)
	f.u8(status)
	f.f64(s.now - req.attempts[n].sentAt)
	f.u8(map[bool]uint8{true: 1}[req.over])
	f.u16(s.IntN(150))
	f.u16(trueUnits)
	s.writeLoad(f, s.settings.LoadReport.How == "inline", req.attempts[n].backend)
}

func (s *simulation) writeLoad(f *frame, told bool, b *simBackend) {
	if !told {
		f.u8(0)
		return
	}
	f.u8(uint8(len(s.settings.LoadReport.Fields)))
	for range s.settings.LoadReport.Fields {
		f.f32(float64(b.inFlight) + s.Float64())
	}
}

// cancel calls an attempt off.
func (s *simulation) cancel(req *simRequest, n int) {
	if !s.settings.Allowed.Cancel || n >= len(req.attempts) {
		s.fault(req, fmt.Sprintf("attempt %d cannot be called off", n))
	} else if req.stream != n+1 {
		s.after(0, func() { s.finish(req, n, statusCancelled) })
	}
}

// probe answers a check of a backend.
func (s *simulation) probe(g *simGateway, id uint32) {
	if !s.settings.Allowed.Probes {
		s.t.Errorf("seed %d batch %d: probes are not allowed", s.seed, s.batch)
	}
	s.tell(g, 0.01, func(f *frame) {
		f.start(eventChecked)
		f.u32(id)
		f.u8(statusServed)
		f.f64(0.01)
		s.writeLoad(f, true, s.backends[0])
	})
}

// changeCounter draws how the counter does for the next seconds, or has it lose all numbers.
func (s *simulation) changeCounter() {
	s.counterMood = oneOf(s.draws, healthy, healthy, healthy, "crowded", "slow", "silent", "unreachable", "spoilt")
	if s.chance(0.1) {
		clear(s.counter)
	}
}

// count answers a call to the counter. Replies to one instance for one name keep the order of the calls.
func (s *simulation) count(g *simGateway, name uint64, amount, keep float64) {
	if !s.settings.FamilyInfo.HasCounter {
		s.t.Errorf("seed %d batch %d: a call to a counter that is not there", s.seed, s.batch)
	}
	status, took, added := uint8(statusServed), s.between(0.001, 0.02), true
	switch luck := s.Float64(); {
	case s.counterMood == "crowded" && luck < 0.5 || luck < 0.01:
		status, added = statusFull, false
	case s.counterMood == "unreachable" && luck < 0.8 || luck < 0.02:
		status, added = statusConnectFailed, false
	case s.counterMood == "silent" && luck < 0.8 || luck < 0.03:
		status, took, added = statusTimeout, s.settings.FamilyInfo.CounterTimeoutS, s.chance(0.5)
	case s.counterMood == "slow":
		took = s.settings.FamilyInfo.CounterTimeoutS * s.between(0.5, 1)
	case s.counterMood == "spoilt" && luck < 0.6:
		status = oneOf[uint8](s.draws, statusError, statusReset)
	}
	total := s.add(name, amount, keep, added)
	call, at := simCall{g.number, name}, s.now+took
	at = max(at, s.lastReply[call])
	s.lastReply[call] = at
	s.tell(g, at-s.now, func(f *frame) {
		f.start(eventCounterReply)
		f.u64(name)
		f.u8(status)
		f.f32(total)
		f.f64(took)
	})
}

// add changes a number of the counter. Gateways outside the stream use what the customer has, too.
func (s *simulation) add(name uint64, amount, keep float64, added bool) float64 {
	c := s.counter[name]
	if s.now >= c.expires {
		c = simCounter{expires: s.now + keep}
	}
	if added {
		c.total += amount
	}
	s.counter[name] = c
	total := c.total
	if amount > 0 && s.chance(0.3) {
		c.total += amount * s.Float64() * float64(min(s.settings.FleetSize-1, 4))
		s.counter[name] = c
	}
	return total
}

// strayEvent sends an instance something that it need not expect: of unknown or finished requests and attempts,
// unknown tokens and names, data of a peer.
func (s *simulation) strayEvent() {
	g := s.gateways[s.IntN(len(s.gateways))]
	if !g.attached {
		return
	}
	f, unknown := &g.part, &simRequest{id: 1<<31 + s.Uint32N(1<<20), attempts: []simAttempt{{backend: s.backends[0]}}}
	switch s.IntN(6) {
	case 0:
		s.writeEnd(f, unknown, 0, statusServed, 0)
	case 1:
		f.start(eventAlarm)
		f.u64(0xee<<56 | uint64(s.Uint32()))
	case 2:
		f.start(eventCounterReply)
		f.u64(s.Uint64())
		f.u8(statusServed)
		f.f32(3)
		f.f64(0.01)
	case 3:
		f.start(eventPeerData)
		f.u32(0)
		f.u16(2)
		f.u16(0x6869)
	case 4:
		f.start(eventEstablished)
		f.u32(unknown.id)
		f.u32(s.backends[0].id)
		f.f64(0.1)
		f.u8(0)
	case 5:
		s.endAgain(f, g)
	}
}

// endAgain ends an attempt of a recent request a second time.
func (s *simulation) endAgain(f *frame, g *simGateway) {
	req := s.requests[s.nextRequest-min(s.nextRequest, s.Uint32N(20))]
	if req == nil || req.gateway != g || !req.alive() || len(req.attempts) == 0 || req.attempts[0].out {
		return
	}
	s.writeEnd(f, req, 0, statusError, 0)
}
