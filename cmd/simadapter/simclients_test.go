package main

// simCustomer is a customer of the fleet. A consecutive range of the fleet's gateways is assigned to the customer. The
// clients of the customer send requests to these gateways and, in rare cases, to other gateways. Requests are generated
// for the simulated gateways (instances) only.
type simCustomer struct {
	id           uint64
	plan         int
	firstGateway int // rank of the customer's first gateway; the next ranks follow, modulo the fleet size
	gatewayCount int
	meanInterval float64 // mean time between requests in seconds
}

// simRequest is one request of a client. Each retry by the client is a new simRequest.
type simRequest struct {
	id              uint32
	instance        *simInstance // instance that the request was sent to
	incarnation     int          // incarnation of the instance that the request was sent to
	class           *simClass
	classIndex      int
	customer        *simCustomer
	units           float64
	deadline        float64 // clock time at which the client stops waiting for the answer
	giveUpAt        float64 // clock time from which the client sends no further retry
	attempts        []simAttempt
	streamedAttempt int    // 1 + the index of the attempt whose response has started; 0: none
	streamedInBatch uint32 // sequence number of the batch in which the response started
	ended           bool
	endedInBatch    uint32 // sequence number of the batch in which the request ended
	answered        bool   // a final answer of the instance ended the request
}

// incarnationRuns reports whether the incarnation that the request was sent to is still running.
func (req *simRequest) incarnationRuns() bool { return req.instance.runs(req.incarnation) }

// end marks the request as ended in the given batch.
func (req *simRequest) end(batchSeq uint32) {
	req.ended = true
	req.endedInBatch = batchSeq
}

// endedBefore reports whether the request ended in a batch before the given one.
func (req *simRequest) endedBefore(batchSeq uint32) bool {
	return req.ended && req.endedInBatch < batchSeq
}

// streamedBefore reports whether a response to the request started in a batch before the given one.
func (req *simRequest) streamedBefore(batchSeq uint32) bool {
	return req.streamedAttempt > 0 && req.streamedInBatch < batchSeq
}

// addCustomer adds a customer with the given plan and assigns a range of gateways to the customer. The range includes
// at least one instance.
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

// drawInterval draws the mean time between a customer's requests, from 0.05 s to 70 s.
func (s *simulation) drawInterval(c *simCustomer) {
	c.meanInterval = oneOf(s.randomSource, 0.05, 0.3, 0.5, 1, 1, 2, 10, 70)
}

// sendNextRequest sends a request of a customer and schedules the next request of the customer.
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

// sendRequest sends a request of a customer to a random instance. It sends no request if the instance is not running,
// if drawReachable returns false, or if the clock time is giveUpAt or later. In some cases the request's deadline is
// before giveUpAt, or its client disconnects before the deadline.
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
	inst.events.request(req, isRetry && s.settings.Clients.MarkRetries)
	s.expectFinalAnswer(req)
	if s.chance(0.1) {
		s.after((req.deadline-s.now)*s.Float64(), func() { s.disconnect(req) })
	}
}

// drawReachable reports whether to send a customer's request to an instance. The result is always true for the gateways
// that are assigned to the customer, and sometimes true for other gateways.
func (s *simulation) drawReachable(c *simCustomer, inst *simInstance) bool {
	fleet := s.settings.FleetSize
	offset := (inst.rank - c.firstGateway + fleet) % fleet
	return offset < c.gatewayCount || s.chance(0.05)
}

// request writes the record that a request has arrived. marked says whether its client has marked it as a retry.
func (w *recordWriter) request(req *simRequest, marked bool) {
	w.begin(eventRequest)
	w.u32(req.id)
	w.f32(float64(req.customer.firstGateway))
	w.u16(req.customer.plan)
	w.u64(req.customer.id)
	w.f32(float64(req.customer.gatewayCount))
	w.f32(req.units)
	w.flag(marked, flagRetry)
	w.u16(req.classIndex)
	w.f64(req.deadline)
}

// disconnect disconnects the client of a request. The request may have ended already.
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

// retryLater schedules a retry of a rejected request through a random instance, or decides at random that the client
// doesn't retry. There is no retry if the request has ended or the retry would come at giveUpAt or later.
func (s *simulation) retryLater(req *simRequest, retryAfter float64) {
	backoff := retryAfter + s.ExpFloat64()*0.2
	if !req.ended && s.chance(0.5) && s.now+backoff < req.giveUpAt {
		s.after(backoff, func() { s.sendRequest(req.customer, req.classIndex, req.units, req.giveUpAt, true) })
	}
}
