package main

// simCustomer is a customer whose clients send requests to its set of gateways.
type simCustomer struct {
	id           uint64
	plan         int
	firstGateway int // rank of the first gateway of its set; the others follow
	gatewayCount int
	meanInterval float64 // seconds between requests
}

// simRequest is one request of a client. A retry is a request of its own.
type simRequest struct {
	id              uint32
	instance        *simInstance // that it was sent to
	incarnation     int          // of the instance
	class           *simClass
	classIndex      int
	customer        *simCustomer
	units           float64
	deadline        float64 // clock time at which the client stops waiting for this request
	giveUpAt        float64 // clock time at which the client gives up with all its retries
	attempts        []simAttempt
	streamedAttempt int    // 1 + the attempt whose response has started; 0: none
	streamedInBatch uint32 // the batch in which it started
	ended           bool
	endedInBatch    uint32 // the batch that ended it
	answered        bool   // it was ended by a final answer of the instance
}

// incarnationRuns reports whether the incarnation that got the request still runs.
func (req *simRequest) incarnationRuns() bool { return req.instance.runs(req.incarnation) }

// end notes that the request has ended in a batch.
func (req *simRequest) end(batchSeq uint32) {
	req.ended = true
	req.endedInBatch = batchSeq
}

// endedBefore reports whether the request ended in a batch before the given one.
func (req *simRequest) endedBefore(batchSeq uint32) bool {
	return req.ended && req.endedInBatch < batchSeq
}

// streamedBefore reports whether a response started in a batch before the given one.
func (req *simRequest) streamedBefore(batchSeq uint32) bool {
	return req.streamedAttempt > 0 && req.streamedInBatch < batchSeq
}

// addCustomer adds a customer of a plan. One of the instances belongs to its set.
func (s *simulation) addCustomer(plan int) {
	fleet := s.settings.FleetSize
	member := s.instances[s.IntN(len(s.instances))]
	gatewayCount := oneOf(s.randomSource, fleet, fleet, 1+s.IntN(fleet))
	c := &simCustomer{
		id:           s.Uint64N(1 << 33),
		plan:         plan,
		firstGateway: (member.rank - s.IntN(gatewayCount) + fleet) % fleet,
		gatewayCount: gatewayCount,
	}
	s.drawInterval(c)
	s.customers = append(s.customers, c)
	s.after(s.ExpFloat64()*2, func() { s.sendNextRequest(c) })
}

// drawInterval draws the mean time between a customer's requests, from bursts to none for a minute.
func (s *simulation) drawInterval(c *simCustomer) {
	c.meanInterval = oneOf(s.randomSource, 0.05, 0.3, 0.5, 1, 1, 2, 10, 70)
}

// sendNextRequest has a customer send a request, and schedules the next one.
func (s *simulation) sendNextRequest(c *simCustomer) {
	if s.chance(0.03) || c.meanInterval > 5 {
		s.drawInterval(c)
	}
	class := s.IntN(len(s.settings.Classes))
	units := float64(1 + s.IntN(s.settings.QuotaCounter.MaxUnits))
	if s.chance(0.1) {
		units = s.between(0, units)
	}
	s.sendRequest(c, class, units, s.now+s.settings.Classes[class].DeadlineS, false)
	s.after(s.ExpFloat64()*c.meanInterval, func() { s.sendNextRequest(c) })
}

// sendRequest has a client send a request to one of its customer's gateways. Some requests have less time
// than the client.
func (s *simulation) sendRequest(c *simCustomer, class int, units, giveUpAt float64, isRetry bool) {
	inst := s.instances[s.IntN(len(s.instances))]
	if !inst.running || s.now >= giveUpAt || !s.drawReachable(c, inst) {
		return
	}
	s.lastRequestID++
	req := &simRequest{
		id:          s.lastRequestID,
		instance:    inst,
		incarnation: inst.incarnation,
		class:       &s.settings.Classes[class],
		classIndex:  class,
		customer:    c,
		units:       units,
		deadline:    giveUpAt,
		giveUpAt:    giveUpAt,
	}
	if s.chance(0.1) {
		req.deadline = s.now + (giveUpAt-s.now)*s.Float64()
	}
	s.requests[req.id] = req
	inst.events.request(req, isRetry)
	s.expectFinalAnswer(req)
	if s.chance(0.1) {
		s.after((req.deadline-s.now)*s.Float64(), func() { s.disconnect(req) })
	}
}

// drawReachable reports whether a customer's request may be sent to an instance: some are sent outside of the
// customer's set.
func (s *simulation) drawReachable(c *simCustomer, inst *simInstance) bool {
	fleet := s.settings.FleetSize
	offset := (inst.rank - c.firstGateway + fleet) % fleet
	return offset < c.gatewayCount || s.chance(0.05)
}

// request writes the arrival of a request.
func (w *recordWriter) request(req *simRequest, isRetry bool) {
	w.begin(eventRequest)
	w.u32(req.id)
	w.f32(float64(req.customer.firstGateway))
	w.u16(req.customer.plan)
	w.u64(req.customer.id)
	w.f32(float64(req.customer.gatewayCount))
	w.f32(req.units)
	w.flag(isRetry, flagRetry)
	w.u16(req.classIndex)
	w.f64(req.deadline)
}

// disconnect has the client of a request leave. The event may cross the end of the request.
func (s *simulation) disconnect(req *simRequest) {
	if !req.incarnationRuns() {
		return
	}
	if !req.ended {
		req.end(s.batchSeq)
	}
	req.instance.events.begin(eventClientDisconnected)
	req.instance.events.u32(req.id)
}

// retryLater has the client of a rejected request retry, through any gateway.
func (s *simulation) retryLater(req *simRequest, retryAfter float64) {
	backoff := retryAfter + s.ExpFloat64()*0.2
	if !req.ended && s.chance(0.5) && s.now+backoff < req.giveUpAt {
		s.after(backoff, func() { s.sendRequest(req.customer, req.classIndex, req.units, req.giveUpAt, true) })
	}
}
