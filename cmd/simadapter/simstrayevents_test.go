package main

// sendStrayEvent chooses a random instance and, if the instance is running, sends it an event that it does not expect.
// The event is for an unknown or ended request or attempt, or for an unknown timer or counter name. It may also be a
// message from a peer.
func (s *simulation) sendStrayEvent() {
	inst := s.instances[s.IntN(len(s.instances))]
	if !inst.running {
		return
	}
	w := &inst.events
	unknown := &simRequest{id: 1<<31 + s.Uint32N(1<<20), attempts: []simAttempt{{backend: s.backends[0]}}}
	switch s.IntN(6) {
	case 0:
		s.writeAttemptEnd(w, unknown, 0, statusServed, 0)
	case 1:
		w.begin(eventTimerFired)
		w.u64(0xee<<56 | uint64(s.Uint32()))
	case 2:
		w.counterReply(s.Uint64(), statusServed, 3, 0.01)
	case 3:
		w.begin(eventPeerMessage)
		w.u32(0)      // rank of the sender
		w.u16(2)      // length of the data in bytes
		w.u16(0x6869) // the data: "hi"
	case 4:
		w.responseStarted(unknown.id, s.backends[0].id, 0.1, 0)
	case 5:
		s.repeatAttemptEnd(inst)
	}
}

// repeatAttemptEnd reports the end of the first attempt of a recent request a second time.
func (s *simulation) repeatAttemptEnd(inst *simInstance) {
	req := s.requests[s.lastRequestID-min(s.lastRequestID, s.Uint32N(20))]
	if req == nil || req.instance != inst || !req.incarnationRuns() || len(req.attempts) == 0 || req.attempts[0].inFlight {
		return
	}
	s.writeAttemptEnd(&inst.events, req, 0, statusFailed, 0)
}
