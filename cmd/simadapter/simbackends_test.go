package main

const healthy = "healthy"

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
