package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

const instanceCount = 3

// scheduledEvent is something due at a time: an event for an instance in its present life, or a change of the world.
type scheduledEvent struct {
	at            float64
	fromDiscovery bool // discovery's news come first in a batch
	apply         func()
}

// simInstance is one instance: what it has been told and the part of the batch that is for it.
type simInstance struct {
	number, rank   int
	incarnation    int // counts the starts
	running        bool
	subscribed     bool
	knownEndpoints map[uint32]simBackend // the list as this instance was told it
	events         recordWriter
}

// simulation generates one stream and checks the replies to it.
type simulation struct {
	draws
	t                  *testing.T
	seed               uint64
	settings           simSettings
	now, until         float64
	tick               float64 // now in ticks
	batchSeq           uint32
	pending            []scheduledEvent // by time
	instances          []*simInstance
	backends           []*simBackend
	cachedList         []simBackend // the list as instances hold it over a restart
	customers          []*simCustomer
	requests           map[uint32]*simRequest
	lastRequestID      uint32
	listNumber         uint32
	counterTotals      map[uint64]simCounterTotal
	counterCondition   string
	lastCounterReplyAt map[simCounterName]float64
	actionCounts       map[uint8]int // actions by code
	adapterIn          io.Writer
	adapterOut         io.Reader
	batches            bytes.Buffer
	replies            bytes.Buffer
}

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

// after schedules something; it happens in a later batch.
func (s *simulation) after(delay float64, happen func()) { s.schedule(delay, false, happen) }

func (s *simulation) schedule(delay float64, list bool, happen func()) {
	e := scheduledEvent{s.now + max(delay, 0), list, happen}
	at, _ := slices.BinarySearchFunc(s.pending, e.at, func(p scheduledEvent, at float64) int {
		if p.at <= at { // events of the same time keep their order
			return -1
		}
		return 1
	})
	s.pending = slices.Insert(s.pending, at, e)
}

// notify schedules an event for an instance; it is void if that is stopped before.
func (s *simulation) notify(g *simInstance, delay float64, write func(f *recordWriter)) {
	life := g.incarnation
	s.after(delay, func() {
		if g.running && g.incarnation == life {
			write(&g.events)
		}
	})
}

// run exchanges batches with the adapter until the time is over.
func (s *simulation) run() error {
	for len(s.pending) > 0 && !s.t.Failed() {
		s.tick = max(s.tick+1, math.Ceil(s.pending[0].at/s.settings.TickS))
		now := s.tick * s.settings.TickS
		if now > s.until {
			break
		}
		s.now, s.batchSeq = now, s.batchSeq+1
		n := slices.IndexFunc(s.pending, func(e scheduledEvent) bool { return e.at > now })
		if n < 0 {
			n = len(s.pending)
		}
		due := slices.Clone(s.pending[:n])
		s.pending = slices.Delete(s.pending, 0, n)
		for _, list := range []bool{true, false} {
			for _, e := range due {
				if e.fromDiscovery == list {
					e.apply()
				}
			}
		}
		if err := s.exchange(); err != nil {
			return fmt.Errorf("batch %d: %w", s.batchSeq, err)
		}
	}
	return nil
}

// exchange sends the batch that has been put together and takes the reply.
func (s *simulation) exchange() error {
	var head, body recordWriter
	for _, g := range s.instances {
		if g.events.records > 0 {
			body.begin(eventInstanceEvents)
			body.u32(uint32(g.number))
			body.data, body.records = append(body.data, g.events.data...), body.records+g.events.records
			g.events = recordWriter{data: g.events.data[:0]}
		}
	}
	head.f64(s.now)
	head.u32(uint32(len(body.data) + countedHeaderSize))
	head.u32(body.records)
	head.u32(s.batchSeq)
	batch := append(head.data, body.data...)
	s.batches.Write(batch)
	if _, err := s.adapterIn.Write(batch); err != nil {
		return err
	}
	reply := make([]byte, 4)
	if _, err := io.ReadFull(s.adapterOut, reply); err != nil {
		return err
	}
	reply = append(reply, make([]byte, binary.BigEndian.Uint32(reply))...)
	if _, err := io.ReadFull(s.adapterOut, reply[4:]); err != nil {
		return err
	}
	s.replies.Write(reply)
	return s.applyReply(reply[4:])
}

// applyReply lets the actions of a reply have their effects.
func (s *simulation) applyReply(r replyReader) error {
	records, number := r.u32(), r.u32()
	if number != s.batchSeq {
		return fmt.Errorf("the reply is to batch %d", number)
	}
	var g *simInstance
	for range records {
		code := r.u8()
		s.actionCounts[code]++
		switch code {
		case actionInstanceActions:
			g = s.instances[r.u32()]
		case actionSetTimer:
			delay, token := r.f64(), r.number(8)
			s.notify(g, delay, func(f *recordWriter) { f.begin(eventTimerFired); f.u64(token) })
		case actionCounterAdd:
			name, amount, keep := r.number(8), r.f32(), r.f64()
			s.callCounter(g, name, amount, keep)
		case actionPollEndpoints:
			r.u8()
			s.answerPoll(g)
		case actionProbe:
			s.answerProbe(g, r.u32())
		case actionSendAttempt:
			req := s.openRequest(g, r.u32())
			patience, backend := r.f64(), r.u32()
			s.startAttempt(req, patience, backend)
		case actionCancelAttempt:
			req := s.openRequest(g, r.u32())
			s.cancelAttempt(req, int(r.u8()))
		case actionReject, actionFailRequest:
			req := s.openRequest(g, r.u32())
			if code == actionReject {
				s.retryLater(req, r.f64())
			}
			s.checkFinalAnswer(req, code == actionReject)
		default:
			return fmt.Errorf("unexpected action %d", code)
		}
	}
	return nil
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
