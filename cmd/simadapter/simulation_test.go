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

// maxInstances is the largest number of gateways of the fleet that a stream simulates.
const maxInstances = 3

// simInstance is one simulated gateway. The fleet may have further gateways that are not simulated.
type simInstance struct {
	number         int // number of the instance in frames
	rank           int // index of the instance among all gateways of the fleet
	incarnation    int // number of starts
	running        bool
	subscribed     bool                  // discovery sends changes of the list to the instance
	knownEndpoints map[uint32]simBackend // endpoint list that the incarnation has received, by backend id
	events         recordWriter          // records for the next batch
}

// runs reports whether the given incarnation is running.
func (inst *simInstance) runs(incarnation int) bool {
	return inst.running && inst.incarnation == incarnation
}

// scheduledEvent is an event for an instance, or a change of the simulated system, that is due at a clock time.
type scheduledEvent struct {
	at            float64 // clock time
	fromDiscovery bool    // discovery sends the event; events from discovery come first in a batch
	apply         func()
}

// simulation generates the stream of one seed and checks the adapter's replies. A stream is the sequence of batches
// that is drawn from a seed.
type simulation struct {
	randomSource
	t        *testing.T
	seed     uint64
	settings simSettings

	now     float64          // clock time
	endsAt  float64          // clock time at which the stream ends
	tick    float64          // clock time as a number of ticks
	pending []scheduledEvent // ordered by time

	instances     []*simInstance
	backends      []*simBackend
	cachedList    []simBackend // endpoint list that an instance receives at its start
	listNumber    uint32       // number of the last defined endpoint list
	customers     []*simCustomer
	requests      map[uint32]*simRequest // requests by id
	lastRequestID uint32

	counterCondition   condition
	counterTotals      map[uint64]simCounterTotal // totals by name
	lastCounterReplyAt map[simCounterCaller]float64

	batchSeq     uint32
	toAdapter    io.Writer
	fromAdapter  io.Reader
	batches      bytes.Buffer  // all frames sent
	replies      bytes.Buffer  // all frames received
	actionCounts map[uint8]int // number of actions received, by code
}

// newSimulation draws the deployment and the initial state from a seed and schedules the events that do not depend on
// replies. The simulation counts the actions in the replies in actionCounts.
func newSimulation(
	t *testing.T, seed uint64, actionCounts map[uint8]int, toAdapter io.Writer, fromAdapter io.Reader,
) *simulation {
	d := randomSource{rand.New(rand.NewPCG(seed, 1))}
	s := &simulation{
		randomSource:       d,
		t:                  t,
		seed:               seed,
		settings:           d.settings(seed),
		now:                d.between(5, 50),
		requests:           map[uint32]*simRequest{},
		counterTotals:      map[uint64]simCounterTotal{},
		lastCounterReplyAt: map[simCounterCaller]float64{},
		toAdapter:          toAdapter,
		fromAdapter:        fromAdapter,
		actionCounts:       actionCounts,
	}
	s.endsAt = s.now + d.between(60, 110)
	if s.settings.TickS < 0.01 {
		s.endsAt = s.now + d.between(60, 70)
	}
	s.addInitialState()
	s.repeat(1.5, s.changeBackends)
	s.repeat(4, s.changeCounter)
	s.repeat(10, s.refreshCachedList)
	s.repeat(0.5, s.sendStrayEvent)
	s.repeat(30, s.restartInstance)
	return s
}

// addInitialState adds the initial backends, instances and customers.
func (s *simulation) addInitialState() {
	for range 3 + s.IntN(4) {
		s.addBackend(0)
	}
	s.refreshCachedList()
	firstRank := s.IntN(s.settings.FleetSize)
	for i := range min(maxInstances, s.settings.FleetSize) {
		inst := &simInstance{number: i, rank: (firstRank + i) % s.settings.FleetSize}
		s.instances = append(s.instances, inst)
		s.after(s.Float64(), func() { s.start(inst) })
	}
	for i := range 3 * len(s.settings.Plans) {
		s.addCustomer(i % len(s.settings.Plans))
	}
}

// after schedules a change of the simulated system. Even with a delay of 0, the change takes effect in a later batch.
func (s *simulation) after(delay float64, apply func()) { s.schedule(delay, false, apply) }

// repeat schedules a change of the simulated system at random intervals until the end of the stream.
func (s *simulation) repeat(meanInterval float64, apply func()) {
	s.after(s.ExpFloat64()*meanInterval, func() {
		apply()
		s.repeat(meanInterval, apply)
	})
}

// notify schedules an event for an instance. The event is dropped if the instance's current incarnation ends first.
func (s *simulation) notify(inst *simInstance, delay float64, write func(w *recordWriter)) {
	incarnation := inst.incarnation
	s.after(delay, func() {
		if inst.runs(incarnation) {
			write(&inst.events)
		}
	})
}

// schedule adds a pending event. Events that are due at the same time keep the order in which they were added.
func (s *simulation) schedule(delay float64, fromDiscovery bool, apply func()) {
	event := scheduledEvent{s.now + max(delay, 0), fromDiscovery, apply}
	i, _ := slices.BinarySearchFunc(s.pending, event.at, func(p scheduledEvent, at float64) int {
		if p.at <= at {
			return -1
		}
		return 1
	})
	s.pending = slices.Insert(s.pending, i, event)
}

// run sends batches to the adapter and applies the replies, until the stream ends or the test has failed.
func (s *simulation) run() error {
	for len(s.pending) > 0 && !s.t.Failed() {
		s.tick = max(s.tick+1, math.Ceil(s.pending[0].at/s.settings.TickS))
		now := s.tick * s.settings.TickS
		if now > s.endsAt {
			break
		}
		s.now = now
		s.batchSeq++
		s.applyDueEvents()
		if err := s.exchange(); err != nil {
			return fmt.Errorf("batch %d: %w", s.batchSeq, err)
		}
	}
	return nil
}

// applyDueEvents applies the pending events that are due, events from discovery first.
func (s *simulation) applyDueEvents() {
	n := slices.IndexFunc(s.pending, func(e scheduledEvent) bool { return e.at > s.now })
	if n < 0 {
		n = len(s.pending)
	}
	due := slices.Clone(s.pending[:n])
	s.pending = slices.Delete(s.pending, 0, n)
	for _, fromDiscovery := range []bool{true, false} {
		for _, event := range due {
			if event.fromDiscovery == fromDiscovery {
				event.apply()
			}
		}
	}
}

// exchange sends the collected records as a batch, reads the reply and applies it.
func (s *simulation) exchange() error {
	batch := s.takeBatch()
	s.batches.Write(batch)
	if _, err := s.toAdapter.Write(batch); err != nil {
		return err
	}
	reply := make([]byte, replyLengthSize)
	if _, err := io.ReadFull(s.fromAdapter, reply); err != nil {
		return err
	}
	reply = append(reply, make([]byte, binary.BigEndian.Uint32(reply))...)
	if _, err := io.ReadFull(s.fromAdapter, reply[replyLengthSize:]); err != nil {
		return err
	}
	s.replies.Write(reply)
	return s.applyReply(reply[replyLengthSize:])
}

// takeBatch returns a frame with the collected records of all instances and empties their writers.
func (s *simulation) takeBatch() []byte {
	var header, body recordWriter
	for _, inst := range s.instances {
		if inst.events.records > 0 {
			body.begin(eventInstanceEvents)
			body.u32(uint32(inst.number))
			body.appendRecords(&inst.events)
			inst.events.reset()
		}
	}
	header.f64(s.now)
	header.u32(uint32(len(body.data) + countedHeaderSize))
	header.u32(body.records)
	header.u32(s.batchSeq)
	return append(header.data, body.data...)
}

// applyReply applies the actions of a reply. It returns an error if the reply is malformed.
func (s *simulation) applyReply(r replyReader) error {
	records := r.u32()
	if seq := r.u32(); seq != s.batchSeq {
		return fmt.Errorf("the reply has the sequence number %d", seq)
	}
	var inst *simInstance
	for range records {
		code := r.u8()
		s.actionCounts[code]++
		if code == actionInstanceActions {
			inst = s.instances[r.u32()]
			continue
		}
		if err := s.applyAction(inst, code, &r); err != nil {
			return err
		}
	}
	return nil
}

// applyAction reads the fields of an instance's action and applies the action to the simulated system.
func (s *simulation) applyAction(inst *simInstance, code uint8, r *replyReader) error {
	switch code {
	case actionSetTimer:
		delay, token := r.f64(), r.u64()
		s.notify(inst, delay, func(w *recordWriter) {
			w.begin(eventTimerFired)
			w.u64(token)
		})
	case actionCounterAdd:
		name, amount, ttl := r.u64(), r.f32(), r.f64()
		s.callCounter(inst, name, amount, ttl)
	case actionPollEndpoints:
		r.u8() // 1: subscribe; the adapter writes no other value
		s.handlePoll(inst)
	case actionProbe:
		s.handleProbe(inst, r.u32())
	case actionSendAttempt:
		req := s.openRequest(inst, r.u32())
		timeout, backendID := r.f64(), r.u32()
		s.startAttempt(req, timeout, backendID)
	case actionCancelAttempt:
		req := s.openRequest(inst, r.u32())
		s.cancelAttempt(req, int(r.u8()))
	case actionReject:
		req := s.openRequest(inst, r.u32())
		s.retryLater(req, r.f64())
		s.handleFinalAnswer(req, true)
	case actionFailRequest:
		s.handleFinalAnswer(s.openRequest(inst, r.u32()), false)
	default:
		return fmt.Errorf("unexpected action code %d", code)
	}
	return nil
}

// start starts a new incarnation of an instance and sends it the cached endpoint list.
func (s *simulation) start(inst *simInstance) {
	inst.running = true
	inst.incarnation++
	inst.subscribed = s.settings.Discovery == "push"
	inst.knownEndpoints = map[uint32]simBackend{}
	settings := s.settings
	settings.Rank = inst.rank
	text, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	w := &inst.events
	w.begin(eventStartInstance)
	w.u64(s.Uint64())
	w.u32(uint32(len(text)))
	w.data = append(w.data, text...)
	s.writeEndpointUpdate(inst, listCached, s.cachedList)
	if inst.subscribed {
		s.scheduleEndpointUpdate(inst, listFull)
	}
}

// restartInstance kills an instance and starts it again, in some cases in the same batch.
func (s *simulation) restartInstance() {
	inst := s.instances[s.IntN(len(s.instances))]
	if !inst.running {
		return
	}
	inst.running = false
	inst.events.begin(eventStopInstance)
	if s.chance(0.3) {
		s.start(inst)
	} else {
		s.after(s.between(0.5, 5), func() { s.start(inst) })
	}
}
