package main

type simCustomer struct {
	id                         uint64
	plan                       int
	firstGateway, gatewayCount int // its gateways
	meanInterval               float64
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

// instanceRuns tells whether the instance still runs that took the request.
func (req *simRequest) instanceRuns() bool {
	return req.instance.running && req.instance.incarnation == req.incarnation
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
