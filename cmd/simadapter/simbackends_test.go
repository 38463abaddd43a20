package main

// condition is the current state of health of a backend or of the counter. It determines the outcomes of the attempts
// at the backend, or of the calls to the counter. Conditions change at random.
type condition string

const (
	healthy     condition = "healthy"
	slow        condition = "slow"
	failing     condition = "failing"
	rejecting   condition = "rejecting"
	unreachable condition = "unreachable"
	silent      condition = "silent"
	overloaded  condition = "overloaded" // counter only
	malformed   condition = "malformed"  // counter only: the counter's responses can't be parsed
)

// Bounds of the number of ready backends. If there are fewer than minReadyBackends, the next call of changeList adds a
// backend. If there are maxReadyBackends or more, no backend is added.
const (
	minReadyBackends = 1
	maxReadyBackends = 8
)

// simBackend is a simulated backend: its entry in the endpoint list, and state that is not in the list.
type simBackend struct {
	id        uint32
	version   uint32 // incremented by each change of the entry
	zone      uint8
	cell      int
	state     uint8
	weight    float64
	startedAt float64 // clock time of the last start; 0: the start was long before the stream
	latency   float64 // latency in seconds of a request while the backend is idle and healthy
	condition condition
	inFlight  int // number of attempts in flight
}

// addBackend adds a ready backend.
func (s *simulation) addBackend(startedAt float64) {
	s.backends = append(s.backends, &simBackend{
		id:        s.Uint32(),
		version:   1,
		zone:      uint8(s.IntN(3)),
		cell:      s.IntN(2),
		state:     stateReady,
		weight:    s.between(0.5, 4),
		startedAt: startedAt,
		latency:   s.between(0.02, 0.3),
		condition: healthy,
	})
}

// currentList returns a copy of the current endpoint list.
func (s *simulation) currentList() []simBackend {
	list := make([]simBackend, 0, len(s.backends))
	for _, b := range s.backends {
		list = append(list, *b)
	}
	return list
}

// refreshCachedList replaces the cached list by the current list. Instances receive the cached list when they start.
func (s *simulation) refreshCachedList() { s.cachedList = s.currentList() }

func (s *simulation) readyBackends() int {
	ready := 0
	for _, b := range s.backends {
		if b.state == stateReady {
			ready++
		}
	}
	return ready
}

// changeBackends draws a new condition for one backend, and may change the endpoint list. Discovery then sends the
// change to all instances.
func (s *simulation) changeBackends() {
	b := s.backends[s.IntN(len(s.backends))]
	b.condition = oneOf(s.randomSource, healthy, healthy, healthy, slow, failing, rejecting, unreachable, silent)
	if !s.changeList(b) {
		return
	}
	b.version++
	for _, inst := range s.instances {
		s.scheduleEndpointUpdate(inst, oneOf[uint8](s.randomSource, listDelta, listDelta, listDelta, listFull))
	}
}

// changeList draws whether and how to change the endpoint list: it adds a backend, restarts all ready backends or
// changes the entry of backend b. It reports whether it changed the list.
func (s *simulation) changeList(b *simBackend) bool {
	ready := s.readyBackends()
	switch {
	case ready < minReadyBackends || ready < maxReadyBackends && s.chance(0.12):
		s.addBackend(s.now)
	case s.chance(0.03):
		s.restartReadyBackends()
	case b.state == stateReady && s.chance(0.12):
		b.startedAt = s.now // a restart of the backend
		b.condition = healthy
	case b.state == stateReady && s.chance(0.1):
		b.state = stateDraining
	case b.state == stateDraining && s.chance(0.5), s.chance(0.02):
		b.state = stateRemoved
	default:
		return false
	}
	return true
}

// restartReadyBackends simulates a rollout that restarts all ready backends at once.
func (s *simulation) restartReadyBackends() {
	for _, b := range s.backends {
		if b.state == stateReady {
			b.startedAt = s.now
			b.version++
		}
	}
}

// scheduleEndpointUpdate schedules an update of the given form from discovery to an instance. The update is not sent if
// the incarnation has ended, or if the instance is not subscribed when the update is due. If the settings make instances
// poll discovery, the subscription may fail instead. In that case, the instance gets an update of the form listFailed.
func (s *simulation) scheduleEndpointUpdate(inst *simInstance, form uint8) {
	incarnation := inst.incarnation
	s.schedule(s.between(0.02, 0.6), true, func() {
		if !inst.runs(incarnation) || !inst.subscribed {
			return
		}
		if s.settings.Discovery == "ask" && s.chance(0.1) {
			inst.subscribed = false
			form = listFailed
		}
		s.writeEndpointUpdate(inst, form, s.currentList())
	})
}

// handlePoll handles an instance's poll of discovery. It either subscribes the instance and schedules the full list, or
// schedules the report of a failure.
func (s *simulation) handlePoll(inst *simInstance) {
	inst.subscribed = s.chance(0.75)
	if inst.subscribed {
		s.scheduleEndpointUpdate(inst, listFull)
		return
	}
	s.notify(inst, s.between(0.01, 0.3), func(*recordWriter) { s.writeEndpointUpdate(inst, listFailed, nil) })
}

// writeEndpointUpdate writes an update of the given form for an instance and stores the entries of the update in
// knownEndpoints.
func (s *simulation) writeEndpointUpdate(inst *simInstance, form uint8, current []simBackend) {
	if form != listFailed {
		entries := inst.entriesFor(form, current)
		if form != listDelta {
			inst.knownEndpoints = map[uint32]simBackend{}
		}
		s.defineEndpointList(&inst.events, entries)
		for _, b := range entries {
			inst.knownEndpoints[b.id] = b
		}
	}
	w := &inst.events
	w.begin(eventEndpointUpdate)
	w.u8(form)
	w.u32(s.batchSeq)
	w.u32(s.listNumber)
}

// entriesFor selects the entries of the current list that belong in an update of the given form to the instance.
func (inst *simInstance) entriesFor(form uint8, current []simBackend) []simBackend {
	var entries []simBackend
	for _, b := range current {
		known, listed := inst.knownEndpoints[b.id]
		include := b.state != stateRemoved
		if form == listDelta {
			include = known.version != b.version && (listed || b.state != stateRemoved)
		}
		if include {
			entries = append(entries, b)
		}
	}
	return entries
}

// defineEndpointList writes the record that defines an endpoint list under the next number.
func (s *simulation) defineEndpointList(w *recordWriter, entries []simBackend) {
	s.listNumber = (s.listNumber + 1) % maxEndpointLists
	w.begin(eventDefineEndpointList)
	w.u32(s.listNumber)
	w.u32(uint32(len(entries)))
	for _, b := range entries {
		w.endpoint(b)
	}
}

// endpoint writes an entry of an endpoint list.
func (w *recordWriter) endpoint(b simBackend) {
	w.u32(b.id)
	w.u8(b.zone)
	w.u16(0) // index of the kind of machine
	w.u16(b.cell)
	w.u8(b.state)
	w.f32(b.weight)
	w.f64(b.startedAt)
}

// handleProbe schedules the result of a health check. The health check always succeeds.
func (s *simulation) handleProbe(inst *simInstance, backend uint32) {
	if !s.settings.Capabilities.CanProbe {
		s.t.Errorf("seed %d batch %d: a probe, which the settings don't allow", s.seed, s.batchSeq)
	}
	const latency = 0.01
	s.notify(inst, latency, func(w *recordWriter) {
		w.begin(eventProbeResult)
		w.u32(backend)
		w.u8(statusServed)
		w.f64(latency)
		s.writeLoadReport(w, true, s.backends[0])
	})
}

// writeLoadReport writes the load report of a backend, or an empty load report if the parameter included is false.
func (s *simulation) writeLoadReport(w *recordWriter, included bool, b *simBackend) {
	if !included {
		w.u8(0)
		return
	}
	w.u8(uint8(len(s.settings.LoadReport.Fields)))
	for range s.settings.LoadReport.Fields {
		w.f32(float64(b.inFlight) + s.Float64())
	}
}
