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
	Capabilities simCapabilities    `json:"allowed"`
	Classes      []simClass         `json:"classes"`
	Plans        []simPlan          `json:"packages"`
	Discovery    string             `json:"discovery"`
	QuotaCounter simQuotaCounter    `json:"familyInfo"`
	FleetSize    int                `json:"fleetSize"`
	Rank         int                `json:"rank"`
	Kinds        []string           `json:"kinds"`
	Zones        []string           `json:"localities"`
	Zone         int                `json:"locality"`
	LoadReport   simLoadReport      `json:"loadReport"`
	Requirements simRequirements    `json:"obligations"`
	Prices       map[string]float64 `json:"prices"`
	TickS        float64            `json:"tickS"`
	Weights      string             `json:"weights"`
}

type simCapabilities struct {
	CanCancel         bool    `json:"cancel"`
	ConnectTimeoutS   float64 `json:"connectTimeoutS"`
	MaxOpen           int     `json:"maxOpen"`
	MaxRetryAfterS    float64 `json:"maxRetryAfterS"`
	CanHedge          bool    `json:"mayDuplicate"`
	MaxAttempts       int     `json:"mostTries"`
	CanProbe          bool    `json:"probes"`
	CanSendRetryAfter bool    `json:"retryAfter"`
}

type simClass struct {
	ObjectivePerUnitS float64 `json:"aimStretch,omitempty"`
	DeadlineS         float64 `json:"deadlineS"`
	Idempotency       string  `json:"effect"`
	DedupeScope       string  `json:"keyScope"`
	LateWeightShare   float64 `json:"lateWorth"`
	Name              string  `json:"name"`
	ObjectiveS        float64 `json:"objectiveS"`
	PriorityWeight    float64 `json:"points"`
	Streamed          bool    `json:"streamed"`
	DedupeWindowS     float64 `json:"windowS"`
}

type simPlan struct {
	MaxConcurrent   int     `json:"atOnce"`
	OverQuotaCost   float64 `json:"beyondCosts"`
	CeilingSlack    float64 `json:"capSlack"`
	CeilingBurst    float64 `json:"ceilingBurst"`
	Burst           float64 `json:"depth"`
	Name            string  `json:"name"`
	CeilingRate     float64 `json:"neverOverRate"`
	OverQuotaWeight float64 `json:"overWorth"`
	WeightFactor    float64 `json:"pays"`
	Rate            float64 `json:"unitsPerS"`
}

type simQuotaCounter struct {
	CounterPrice    float64 `json:"counterPrice"`
	CounterTimeoutS float64 `json:"counterTimeoutS"`
	HasCounter      bool    `json:"hasCounter"`
	MaxUnits        int     `json:"mostUnits"`
	UnitsEstimated  bool    `json:"truedUp"`
}

type simLoadReport struct {
	Fields   []string `json:"fields"`
	Delivery string   `json:"how"`
}

type simRequirements struct {
	AnswerSlackS      float64 `json:"answerSlackS"`
	PollIntervalS     float64 `json:"askEveryS"`
	SlowStartMinShare float64 `json:"coldFrom"`
	SlowStartWindowS  float64 `json:"coldS"`
	DrainGraceS       float64 `json:"drainGraceS"`
	OverloadFactor    float64 `json:"fallMultiple"`
	OverloadDurationS float64 `json:"overloadForS"`
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
		Kinds: []string{"small", "wide"}, Zones: []string{"east", "west", "north"}, Zone: d.IntN(3),
		Capabilities: simCapabilities{CanCancel: d.chance(0.6), ConnectTimeoutS: 0.25, MaxOpen: 20000, MaxRetryAfterS: 0.5,
			CanHedge: d.chance(0.6), MaxAttempts: 1 + d.IntN(5), CanProbe: d.chance(0.5), CanSendRetryAfter: d.chance(0.6)},
		QuotaCounter: simQuotaCounter{CounterPrice: 0.02, CounterTimeoutS: 0.08, HasCounter: seed%4 != 3,
			MaxUnits: 1 + d.IntN(4), UnitsEstimated: d.chance(0.3)},
		LoadReport: simLoadReport{[]string{"pending", "busy_reqs"}, oneOf(d, "inline", "on_probe", "off")},
		Requirements: simRequirements{AnswerSlackS: 0.016, PollIntervalS: 10, SlowStartMinShare: d.between(0.1, 0.5),
			SlowStartWindowS: oneOf(d, 0, 5.0, 13.0), DrainGraceS: 2, OverloadFactor: 2, OverloadDurationS: 2},
		Prices: map[string]float64{"crossZone": oneOf(d, 0, 0.1), "waste": 0.05, "lateFail": 0.05, "probe": 0.01},
	}
	for _, c := range []struct{ effect, scope string }{{"repeatable", "all"}, {"repeatable", "all"}, {"once", "all"},
		{"by_key", "all"}, {"by_key", "zone"}, {"by_key", "cell"}} {
		aim := d.between(0.2, 2)
		s.Classes = append(s.Classes, simClass{ObjectivePerUnitS: oneOf(d, 0, 0, 2.0), DeadlineS: aim * d.between(1.5, 4),
			Idempotency: c.effect, DedupeScope: c.scope, LateWeightShare: oneOf(d, 0, 0.4), ObjectiveS: aim,
			Name: fmt.Sprintf("class-%d", len(s.Classes)), PriorityWeight: 1 + float64(d.IntN(8)),
			Streamed: c.effect != "by_key" && d.chance(0.4), DedupeWindowS: oneOf(d, 0.6, 0.9, 5.0)})
	}
	rate := d.between(0.5, 4)
	s.Plans = []simPlan{{},
		{Rate: rate, Burst: d.between(2, 16)},
		{Rate: 4 + 3*rate, Burst: d.between(5, 30)},
		{Rate: rate, Burst: d.between(3, 15), CeilingRate: rate * d.between(1, 3), CeilingBurst: d.between(4, 30)},
		{Rate: 3 * rate, Burst: d.between(4, 15), CeilingRate: 4 * rate, CeilingBurst: 400, OverQuotaWeight: 0.6},
		{MaxConcurrent: 1 + d.IntN(8), Rate: oneOf(d, 0, rate)}, {MaxConcurrent: 2, Rate: 2, Burst: 4},
		{Rate: 0.1, Burst: 1}}
	for i := range s.Plans {
		p := &s.Plans[i]
		p.Name, p.WeightFactor, p.CeilingSlack = fmt.Sprintf("plan-%d", i), d.between(0.3, 2), 3
		p.OverQuotaCost = oneOf(d, 0, 0.3, 1.2)
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
	startedAt   float64
	latency     float64
	condition   string
	inFlight    int
}

type simCustomer struct {
	id                         uint64
	plan                       int
	firstGateway, gatewayCount int // its gateways
	meanInterval               float64
}

type simAttempt struct {
	backend         *simBackend
	sentAt          float64
	inFlight        bool
	mayHaveExecuted bool
}

type simRequest struct {
	id              uint32
	instance        *simInstance
	incarnation     int
	class           *simClass
	classIndex      int
	customer        *simCustomer
	units           float64
	deadline        float64 // of this try
	giveUpAt        float64 // the clock time at which the client gives up altogether
	attempts        []simAttempt
	streamedAttempt int // 1 + the attempt whose stream has started
	streamedInBatch uint32
	ended, answered bool   // it has ended; the instance ended it
	endedInBatch    uint32 // the batch that ended it
}

type simCounterTotal struct{ total, expires float64 }

type simCounterName struct {
	instance int
	name     uint64
}

const (
	instanceCount = 3
	healthy       = "healthy"
)

// newSimulation draws the world of a seed and schedules what happens in it of itself.
func newSimulation(t *testing.T, seed uint64, seen map[uint8]int, in io.Writer, out io.Reader) *simulation {
	d := draws{rand.New(rand.NewPCG(seed, 1))}
	s := &simulation{draws: d, t: t, seed: seed, actionCounts: seen, adapterIn: in, adapterOut: out, settings: d.settings(seed),
		requests: map[uint32]*simRequest{}, counterTotals: map[uint64]simCounterTotal{}, lastCounterReplyAt: map[simCounterName]float64{},
		now: d.between(5, 50)}
	s.until = s.now + d.between(60, 110)
	if s.settings.TickS < 0.01 {
		s.until = s.now + d.between(60, 70)
	}
	for range 3 + s.IntN(4) {
		s.addBackend(0)
	}
	s.refreshCachedList()
	firstRank := s.IntN(s.settings.FleetSize)
	for i := range min(instanceCount, s.settings.FleetSize) {
		g := &simInstance{number: i, rank: (firstRank + i) % s.settings.FleetSize}
		s.instances = append(s.instances, g)
		s.after(s.Float64(), func() { s.start(g) })
	}
	for i := range 3 * len(s.settings.Plans) {
		s.addCustomer(i % len(s.settings.Plans))
	}
	s.every(1.5, s.changeBackends)
	s.every(4, s.changeCounter)
	s.every(10, s.refreshCachedList)
	s.every(0.5, s.sendStrayEvent)
	s.every(30, s.restartInstance)
	return s
}

// every repeats something after random gaps.
func (s *simulation) every(mean float64, happen func()) {
	s.after(s.ExpFloat64()*mean, func() { happen(); s.every(mean, happen) })
}

// start starts an instance with the list as it may have held it last.
func (s *simulation) start(g *simInstance) {
	g.running, g.subscribed, g.knownEndpoints = true, s.settings.Discovery == "push", map[uint32]simBackend{}
	g.incarnation++
	settings := s.settings
	settings.Rank = g.rank
	text, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	g.events.begin(eventStartInstance)
	g.events.u64(s.Uint64())
	g.events.u32(uint32(len(text)))
	g.events.data = append(g.events.data, text...)
	s.writeEndpointUpdate(g, listCached, s.cachedList)
	if g.subscribed {
		s.scheduleEndpointUpdate(g, listFull)
	}
}

func (s *simulation) restartInstance() {
	g := s.instances[s.IntN(len(s.instances))]
	if !g.running {
		return
	}
	g.running = false
	g.events.begin(eventStopInstance)
	if s.chance(0.3) {
		s.start(g)
	} else {
		s.after(s.between(0.5, 5), func() { s.start(g) })
	}
}

func (s *simulation) addBackend(born float64) {
	s.backends = append(s.backends, &simBackend{id: s.Uint32(), version: 1, zone: uint8(s.IntN(3)), cell: s.IntN(2),
		state: stateReady, weight: s.between(0.5, 4), startedAt: born, latency: s.between(0.02, 0.3), condition: healthy})
}

// refreshCachedList takes the list that instances hold over a restart.
func (s *simulation) refreshCachedList() {
	s.cachedList = s.cachedList[:0]
	for _, b := range s.backends {
		s.cachedList = append(s.cachedList, *b)
	}
}

// changeBackends lets one backend change its health or its state, or a new one join.
func (s *simulation) changeBackends() {
	b := s.backends[s.IntN(len(s.backends))]
	b.condition = oneOf(s.draws, healthy, healthy, healthy, "slow", "failing", "rejecting", "unreachable", "silent")
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
				other.startedAt = s.now
				other.version++
			}
		}
	case b.state == stateReady && s.chance(0.12):
		b.startedAt, b.condition = s.now, healthy // it restarted
	case b.state == stateReady && s.chance(0.1):
		b.state = stateDraining
	case b.state == stateDraining && s.chance(0.5), s.chance(0.02):
		b.state = stateRemoved
	default:
		return
	}
	b.version++
	for _, g := range s.instances {
		s.scheduleEndpointUpdate(g, oneOf[uint8](s.draws, listDelta, listDelta, listDelta, listFull))
	}
}

// scheduleEndpointUpdate has discovery tell an instance of changes, if it listens by then. A subscription may break.
func (s *simulation) scheduleEndpointUpdate(g *simInstance, form uint8) {
	life := g.incarnation
	s.schedule(s.between(0.02, 0.6), true, func() {
		if !g.running || g.incarnation != life || !g.subscribed {
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
		s.writeEndpointUpdate(g, form, entries)
	})
}

// answerPoll answers a call to discovery.
func (s *simulation) answerPoll(g *simInstance) {
	if g.subscribed = s.chance(0.75); g.subscribed {
		s.scheduleEndpointUpdate(g, listFull)
		return
	}
	s.notify(g, s.between(0.01, 0.3), func(*recordWriter) { s.writeEndpointUpdate(g, listFailed, nil) })
}

// writeEndpointUpdate writes what is news to an instance and keeps what it has been told.
func (s *simulation) writeEndpointUpdate(g *simInstance, form uint8, truth []simBackend) {
	var entries []simBackend
	for _, b := range truth {
		old, listed := g.knownEndpoints[b.id]
		if form != listDelta && b.state != stateRemoved || form == listDelta && old.version != b.version &&
			(listed || b.state != stateRemoved) {
			entries = append(entries, b)
		}
	}
	f := &g.events
	if form != listFailed {
		if form != listDelta {
			g.knownEndpoints = map[uint32]simBackend{}
		}
		s.listNumber = (s.listNumber + 1) % maxEndpointLists
		f.begin(eventDefineEndpointList)
		f.u32(s.listNumber)
		f.u32(uint32(len(entries)))
		for _, b := range entries {
			g.knownEndpoints[b.id] = b
			f.endpoint(b)
		}
	}
	f.begin(eventEndpointUpdate)
	f.u8(form)
	f.u32(s.batchSeq)
	f.u32(s.listNumber)
}

func (f *recordWriter) endpoint(b simBackend) {
	f.u32(b.id)
	f.u8(b.zone)
	f.u16(0)
	f.u16(b.cell)
	f.u8(b.state)
	f.f32(b.weight)
	f.f64(b.startedAt)
}

func (s *simulation) addCustomer(plan int) {
	fleet, near := s.settings.FleetSize, s.instances[s.IntN(len(s.instances))]
	spread := oneOf(s.draws, fleet, fleet, 1+s.IntN(fleet))
	c := &simCustomer{id: s.Uint64N(1 << 33), plan: plan, gatewayCount: spread,
		firstGateway: (near.rank - s.IntN(spread) + fleet) % fleet}
	s.drawInterval(c)
	s.customers = append(s.customers, c)
	s.after(s.ExpFloat64()*2, func() { s.nextArrival(c) })
}

// drawInterval draws how long a customer's requests are apart, from bursts to none for a minute.
func (s *simulation) drawInterval(c *simCustomer) {
	c.meanInterval = oneOf(s.draws, 0.05, 0.3, 0.5, 1, 1, 2, 10, 70)
}

// nextArrival lets a request of a customer come in, and the next one later.
func (s *simulation) nextArrival(c *simCustomer) {
	if s.chance(0.03) || c.meanInterval > 5 {
		s.drawInterval(c)
	}
	class := s.IntN(len(s.settings.Classes))
	units := float64(1 + s.IntN(s.settings.QuotaCounter.MaxUnits))
	if s.chance(0.1) {
		units = s.between(0, units)
	}
	s.sendRequest(c, class, units, s.now+s.settings.Classes[class].DeadlineS, false)
	s.after(s.ExpFloat64()*c.meanInterval, func() { s.nextArrival(c) })
}

// sendRequest has a client send a try to one of its customer's gateways. Some tries have less time than the client.
func (s *simulation) sendRequest(c *simCustomer, class int, units, patience float64, repeat bool) {
	g := s.instances[s.IntN(len(s.instances))]
	fleet := s.settings.FleetSize
	place := (g.rank - c.firstGateway + fleet) % fleet
	if !g.running || s.now >= patience || place >= c.gatewayCount && !s.chance(0.05) {
		return // unreachable, too late, or none of the customer's
	}
	s.lastRequestID++
	req := &simRequest{id: s.lastRequestID, instance: g, incarnation: g.incarnation, class: &s.settings.Classes[class], classIndex: class,
		customer: c, units: units, giveUpAt: patience, deadline: patience}
	if s.chance(0.1) {
		req.deadline = s.now + (patience-s.now)*s.Float64()
	}
	s.requests[req.id] = req
	f := &g.events
	f.begin(eventRequest)
	f.u32(req.id)
	f.f32(float64(c.firstGateway))
	f.u16(c.plan)
	f.u64(c.id)
	f.f32(float64(c.gatewayCount))
	f.f32(units)
	f.u8(map[bool]uint8{true: flagRetry}[repeat])
	f.u16(class)
	f.f64(req.deadline)
	s.after(req.deadline+s.settings.Requirements.AnswerSlackS+s.settings.TickS-s.now, func() {
		if req.instanceRuns() && !req.ended && req.streamedAttempt == 0 {
			s.violation(req, "no final answer")
		}
	})
	if s.chance(0.1) {
		s.after((req.deadline-s.now)*s.Float64(), func() { s.disconnect(req) })
	}
}

// disconnect has the client go. Its news may cross the end of the request.
func (s *simulation) disconnect(req *simRequest) {
	if !req.instanceRuns() {
		return
	}
	if !req.ended {
		req.ended, req.endedInBatch = true, s.batchSeq
	}
	req.instance.events.begin(eventClientDisconnected)
	req.instance.events.u32(req.id)
}

// retryLater has a client that was turned away try again, through any gateway.
func (s *simulation) retryLater(req *simRequest, advice float64) {
	if pause := advice + s.ExpFloat64()*0.2; !req.ended && s.chance(0.5) && s.now+pause < req.giveUpAt {
		s.after(pause, func() { s.sendRequest(req.customer, req.classIndex, req.units, req.giveUpAt, true) })
	}
}

// drawOutcome draws how an attempt on a backend ends and when.
func (s *simulation) drawOutcome(b *simBackend) (status uint8, took float64) {
	took = b.latency * s.between(0.5, 2) * (1 + float64(b.inFlight)/6)
	luck := s.Float64()
	switch {
	case b.state == stateRemoved || b.condition == "unreachable":
		return statusConnectFailed, s.settings.Capabilities.ConnectTimeoutS
	case b.state == stateDraining || b.condition == "rejecting" && luck < 0.8 || b.inFlight > 30:
		return statusRejected, 0.002
	case b.condition == "silent" && luck < 0.9 || luck < 0.01:
		return statusTimeout, math.MaxFloat64
	case b.condition == "failing" && luck < 0.5 || luck < 0.02:
		return oneOf[uint8](s.draws, statusFailed, statusReset), took * s.Float64()
	case b.condition == "failing" && luck < 0.8 || luck < 0.04:
		return statusReset, s.between(0, 2) // after the backend had begun
	case b.condition == "slow":
		took *= 8
	}
	return statusServed, took
}

// startAttempt starts an attempt and schedules its end, if it gets one.
func (s *simulation) startAttempt(req *simRequest, patience float64, id uint32) {
	at := slices.IndexFunc(s.backends, func(b *simBackend) bool { return b.id == id })
	if at < 0 {
		s.t.Fatalf("seed %d batch %d: no backend %d", s.seed, s.batchSeq, id)
	}
	b, n := s.backends[at], len(req.attempts)
	s.checkSend(req, b)
	status, took := s.drawOutcome(b)
	req.attempts = append(req.attempts, simAttempt{backend: b, sentAt: s.now, inFlight: true, mayHaveExecuted: true})
	b.inFlight++
	limit := req.deadline - s.now
	if patience != 0 {
		limit = min(limit, max(patience, 0))
	}
	switch {
	case req.ended || req.streamedAttempt > 0:
		s.after(0, func() { s.endAttempt(req, n, statusNotSent) })
	case s.chance(0.01): // it never gets an end
	case took >= limit:
		s.after(limit, func() { s.endAttempt(req, n, statusTimeout) })
	case req.class.Streamed && status == statusServed:
		s.after(took, func() { s.startResponse(req, n) })
	default:
		s.after(took, func() { s.endAttempt(req, n, status) })
	}
}

// startResponse starts the stream of an attempt, if no other one of its request came first.
func (s *simulation) startResponse(req *simRequest, n int) {
	a := req.attempts[n]
	if !a.inFlight || !req.instanceRuns() || req.ended || req.streamedAttempt > 0 {
		s.endAttempt(req, n, statusCancelled)
		return
	}
	req.streamedAttempt, req.streamedInBatch = n+1, s.batchSeq
	f := &req.instance.events
	f.begin(eventResponseStarted)
	f.u32(req.id)
	f.u32(a.backend.id)
	f.f64(s.now - a.sentAt)
	f.u8(uint8(n))
	status := oneOf[uint8](s.draws, statusServed, statusServed, statusServed, statusReset)
	s.after(s.ExpFloat64(), func() { s.endAttempt(req, n, status) })
}

// endAttempt ends an attempt that is still out.
func (s *simulation) endAttempt(req *simRequest, n int, status uint8) {
	a := &req.attempts[n]
	if !a.inFlight {
		return
	}
	a.inFlight = false
	a.backend.inFlight--
	if !req.instanceRuns() {
		return
	}
	streams := req.streamedAttempt == n+1
	if status == statusServed && !streams && (req.ended || req.streamedAttempt > 0) {
		status = statusCancelled
	}
	a.mayHaveExecuted = !provesNotExecuted(status)
	if !req.ended && (status == statusServed || streams) {
		req.ended, req.endedInBatch = true, s.batchSeq
	}
	trueUnits := 0
	if s.settings.QuotaCounter.UnitsEstimated && status == statusServed {
		trueUnits = s.IntN(2*s.settings.QuotaCounter.MaxUnits + 1)
	}
	s.writeAttemptEnd(&req.instance.events, req, n, status, trueUnits)
}

func (s *simulation) writeAttemptEnd(f *recordWriter, req *simRequest, n int, status uint8, trueUnits int) {
	f.begin(eventAttemptEnd)
	f.u32(req.id)
	f.u8(uint8(n))
	f.u32(req.attempts[n].backend.id)
	f.u8(status)
	f.f64(s.now - req.attempts[n].sentAt)
	f.u8(map[bool]uint8{true: 1}[req.ended])
	f.u16(s.IntN(150))
	f.u16(trueUnits)
	s.writeLoadReport(f, s.settings.LoadReport.Delivery == "inline", req.attempts[n].backend)
}

func (s *simulation) writeLoadReport(f *recordWriter, told bool, b *simBackend) {
	if !told {
		f.u8(0)
		return
	}
	f.u8(uint8(len(s.settings.LoadReport.Fields)))
	for range s.settings.LoadReport.Fields {
		f.f32(float64(b.inFlight) + s.Float64())
	}
}

// cancelAttempt calls an attempt off.
func (s *simulation) cancelAttempt(req *simRequest, n int) {
	if !s.settings.Capabilities.CanCancel || n >= len(req.attempts) {
		s.violation(req, fmt.Sprintf("attempt %d cannot be called off", n))
	} else if req.streamedAttempt != n+1 {
		s.after(0, func() { s.endAttempt(req, n, statusCancelled) })
	}
}

// answerProbe answers a check of a backend.
func (s *simulation) answerProbe(g *simInstance, id uint32) {
	if !s.settings.Capabilities.CanProbe {
		s.t.Errorf("seed %d batch %d: probes are not allowed", s.seed, s.batchSeq)
	}
	s.notify(g, 0.01, func(f *recordWriter) {
		f.begin(eventProbeResult)
		f.u32(id)
		f.u8(statusServed)
		f.f64(0.01)
		s.writeLoadReport(f, true, s.backends[0])
	})
}

// changeCounter draws how the counter does for the next seconds, or has it lose all numbers.
func (s *simulation) changeCounter() {
	s.counterCondition = oneOf(s.draws, healthy, healthy, healthy, "crowded", "slow", "silent", "unreachable", "spoilt")
	if s.chance(0.1) {
		clear(s.counterTotals)
	}
}

// callCounter answers a call to the counter. Replies to one instance for one name keep the order of the calls.
func (s *simulation) callCounter(g *simInstance, name uint64, amount, keep float64) {
	if !s.settings.QuotaCounter.HasCounter {
		s.t.Errorf("seed %d batch %d: a call to a counter that is not there", s.seed, s.batchSeq)
	}
	status, took, added := uint8(statusServed), s.between(0.001, 0.02), true
	switch luck := s.Float64(); {
	case s.counterCondition == "crowded" && luck < 0.5 || luck < 0.01:
		status, added = statusRejected, false
	case s.counterCondition == "unreachable" && luck < 0.8 || luck < 0.02:
		status, added = statusConnectFailed, false
	case s.counterCondition == "silent" && luck < 0.8 || luck < 0.03:
		status, took, added = statusTimeout, s.settings.QuotaCounter.CounterTimeoutS, s.chance(0.5)
	case s.counterCondition == "slow":
		took = s.settings.QuotaCounter.CounterTimeoutS * s.between(0.5, 1)
	case s.counterCondition == "spoilt" && luck < 0.6:
		status = oneOf[uint8](s.draws, statusFailed, statusReset)
	}
	total := s.addToCounter(name, amount, keep, added)
	call, at := simCounterName{g.number, name}, s.now+took
	at = max(at, s.lastCounterReplyAt[call])
	s.lastCounterReplyAt[call] = at
	s.notify(g, at-s.now, func(f *recordWriter) {
		f.begin(eventCounterReply)
		f.u64(name)
		f.u8(status)
		f.f32(total)
		f.f64(took)
	})
}

// addToCounter changes a number of the counter. Gateways outside the stream use what the customer has, too.
func (s *simulation) addToCounter(name uint64, amount, keep float64, added bool) float64 {
	c := s.counterTotals[name]
	if s.now >= c.expires {
		c = simCounterTotal{expires: s.now + keep}
	}
	if added {
		c.total += amount
	}
	s.counterTotals[name] = c
	total := c.total
	if amount > 0 && s.chance(0.3) {
		c.total += amount * s.Float64() * float64(min(s.settings.FleetSize-1, 4))
		s.counterTotals[name] = c
	}
	return total
}

// sendStrayEvent sends an instance something that it need not expect: of unknown or finished requests and attempts,
// unknown tokens and names, data of a peer.
func (s *simulation) sendStrayEvent() {
	g := s.instances[s.IntN(len(s.instances))]
	if !g.running {
		return
	}
	f, unknown := &g.events, &simRequest{id: 1<<31 + s.Uint32N(1<<20), attempts: []simAttempt{{backend: s.backends[0]}}}
	switch s.IntN(6) {
	case 0:
		s.writeAttemptEnd(f, unknown, 0, statusServed, 0)
	case 1:
		f.begin(eventTimerFired)
		f.u64(0xee<<56 | uint64(s.Uint32()))
	case 2:
		f.begin(eventCounterReply)
		f.u64(s.Uint64())
		f.u8(statusServed)
		f.f32(3)
		f.f64(0.01)
	case 3:
		f.begin(eventPeerMessage)
		f.u32(0)
		f.u16(2)
		f.u16(0x6869)
	case 4:
		f.begin(eventResponseStarted)
		f.u32(unknown.id)
		f.u32(s.backends[0].id)
		f.f64(0.1)
		f.u8(0)
	case 5:
		s.repeatAttemptEnd(f, g)
	}
}

// repeatAttemptEnd ends an attempt of a recent request a second time.
func (s *simulation) repeatAttemptEnd(f *recordWriter, g *simInstance) {
	req := s.requests[s.lastRequestID-min(s.lastRequestID, s.Uint32N(20))]
	if req == nil || req.instance != g || !req.instanceRuns() || len(req.attempts) == 0 || req.attempts[0].inFlight {
		return
	}
	s.writeAttemptEnd(f, req, 0, statusFailed, 0)
}
