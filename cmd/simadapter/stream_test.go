package main

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// The test in this file drives the adapter with event streams drawn from a seed. The generator is a small
// simulator: it sends a batch, reads the reply and lets the actions have their effects in later batches. Batches
// and replies are plain bytes of the wire, so streams recorded with one version can be replayed into another.

var (
	recordDir = flag.String("record", "", "directory for SEED.batches and SEED.replies")
	seedCount = flag.Int("seeds", 6, "how many seeded streams to run")
)

// Record codes of the wire, with the statuses and forms that the generator uses.
const (
	eventStartInstance, eventEndpointUpdate, eventRequest, eventResponseStarted, eventAttemptEnd    = 16, 17, 18, 19, 20
	eventClientDisconnected, eventTimerFired, eventProbeResult, eventPeerMessage, eventStopInstance = 21, 22, 23, 24, 25
	eventCounterReply, eventDefineEndpointList, eventInstanceEvents                                 = 26, 27, 28

	actionProbe, actionCancelAttempt, actionSetTimer, actionCounterAdd, actionReject = 80, 81, 82, 85, 86
	actionInstanceActions, actionPollEndpoints, actionFailRequest, actionSendAttempt = 87, 88, 89, 91

	statusServed, statusFailed, statusRejected, statusTimeout, statusConnectFailed = 0, 255, 254, 253, 252
	statusReset, statusCancelled, statusNotSent                                    = 251, 250, 249

	listFull, listDelta, listCached, listFailed = 0, 1, 2, 3
	stateRemoved, stateReady, stateDraining     = 0, 1, 2

	flagRetry         = 2
	countedHeaderSize = 8  // bytes of a batch header that the length counts
	maxEndpointLists  = 16 // lists that can be in use at a time
)

// provesNotExecuted tells whether a status proves that an attempt had no effect.
func provesNotExecuted(status uint8) bool {
	return status == statusRejected || status == statusConnectFailed || status == statusNotSent
}

// recordWriter builds the records of one instance in a batch.
type recordWriter struct {
	data    []byte
	records uint32
}

func (f *recordWriter) begin(code uint8) { f.data, f.records = append(f.data, code), f.records+1 }
func (f *recordWriter) u8(v uint8)       { f.data = append(f.data, v) }
func (f *recordWriter) u16(v int)        { f.data = binary.BigEndian.AppendUint16(f.data, uint16(v)) }
func (f *recordWriter) u32(v uint32)     { f.data = binary.BigEndian.AppendUint32(f.data, v) }
func (f *recordWriter) u64(v uint64)     { f.data = binary.BigEndian.AppendUint64(f.data, v) }
func (f *recordWriter) f64(v float64)    { f.u64(math.Float64bits(v)) }
func (f *recordWriter) f32(v float64)    { f.u32(math.Float32bits(float32(v))) }

// replyReader takes fields from a reply; a reply that is too short panics, which fails the test.
type replyReader []byte

func (r *replyReader) number(n int) (v uint64) {
	for _, b := range (*r)[:n] {
		v = v<<8 | uint64(b)
	}
	*r = (*r)[n:]
	return v
}
func (r *replyReader) u8() uint8    { return uint8(r.number(1)) }
func (r *replyReader) u32() uint32  { return uint32(r.number(4)) }
func (r *replyReader) f64() float64 { return math.Float64frombits(r.number(8)) }
func (r *replyReader) f32() float64 { return float64(math.Float32frombits(r.u32())) }

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

// openRequest finds the request that an action names.
func (s *simulation) openRequest(g *simInstance, id uint32) *simRequest {
	req := s.requests[id]
	if req == nil || req.instance != g || !req.instanceRuns() {
		s.t.Fatalf("seed %d batch %d: an action names request %d, which instance %d does not hold",
			s.seed, s.batchSeq, id, g.number)
	}
	return req
}

func (s *simulation) violation(req *simRequest, what string) {
	s.t.Errorf("seed %d batch %d (%.3f s): request %d (%s %s): %s", s.seed, s.batchSeq, s.now, req.id, req.class.Idempotency,
		req.class.DedupeScope, what)
}

// instanceRuns tells whether the instance still runs that took the request.
func (req *simRequest) instanceRuns() bool {
	return req.instance.running && req.instance.incarnation == req.incarnation
}

// mayExecuteTwice tells whether an attempt on b could be a second effect; without b, whether a claim that there
// was none, as Decline makes, could be wrong.
func (req *simRequest) mayExecuteTwice(b *simBackend, now float64) bool {
	return slices.ContainsFunc(req.attempts, func(a simAttempt) bool {
		switch {
		case !a.mayHaveExecuted || req.class.Idempotency == "repeatable":
			return false
		case req.class.Idempotency == "once":
			return true
		case b == nil:
			return req.class.DedupeScope != "all"
		}
		return now > a.sentAt+req.class.DedupeWindowS || req.class.DedupeScope == "zone" && a.backend.zone != b.zone ||
			req.class.DedupeScope == "cell" && a.backend.cell != b.cell
	})
}

// checkSend holds the rules on a further attempt.
func (s *simulation) checkSend(req *simRequest, b *simBackend) {
	out := slices.ContainsFunc(req.attempts, func(a simAttempt) bool { return a.inFlight })
	for _, rule := range []struct {
		broken bool
		what   string
	}{
		{req.answered || req.ended && req.endedInBatch < s.batchSeq, "sent after its end"},
		{req.streamedAttempt > 0 && req.streamedInBatch < s.batchSeq, "sent after its stream had started"},
		{req.instance.knownEndpoints[b.id].state != stateReady, "sent to a backend that is not ready"},
		{len(req.attempts) >= s.settings.Capabilities.MaxAttempts, "more attempts than allowed"},
		{out && !s.settings.Capabilities.CanHedge, "two attempts out at once"},
		{req.mayExecuteTwice(b, s.now), "sent where a second effect is possible"},
	} {
		if rule.broken {
			s.violation(req, rule.what)
		}
	}
}

// checkFinalAnswer takes a final answer of the adapter. One that crosses the end of its request in the same batch is void.
func (s *simulation) checkFinalAnswer(req *simRequest, declined bool) {
	switch {
	case req.answered || req.ended && req.endedInBatch < s.batchSeq:
		s.violation(req, "a second final answer")
	case req.ended:
		return
	case req.streamedAttempt > 0 && req.streamedInBatch < s.batchSeq:
		s.violation(req, "answered after its stream had started")
	case s.now > req.deadline+s.settings.Requirements.AnswerSlackS:
		s.violation(req, "answered too late")
	case declined && req.mayExecuteTwice(nil, s.now):
		s.violation(req, "declined though it may have run")
	}
	req.ended, req.answered, req.endedInBatch = true, true, s.batchSeq
}

// replay gives recorded batches to a fresh adapter.
func replay(batches []byte) ([]byte, error) {
	var replies bytes.Buffer
	err := serve(bytes.NewReader(batches), &replies)
	return replies.Bytes(), err
}

// drive generates the stream of a seed against an adapter.
func drive(t *testing.T, seed uint64, seen map[uint8]int) *simulation {
	batchOut, batchIn := io.Pipe()
	replyOut, replyIn := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := serve(batchOut, replyIn)
		batchOut.CloseWithError(io.ErrClosedPipe)
		replyIn.CloseWithError(err)
		ended <- err
	}()
	s := newSimulation(t, seed, seen, batchIn, replyOut)
	if err := s.run(); err != nil {
		t.Errorf("seed %d: %v", seed, err)
	}
	batchIn.Close()
	if err := <-ended; err != nil {
		t.Errorf("seed %d: the adapter ended with %v", seed, err)
	}
	return s
}

// record keeps a stream for comparisons between versions.
func record(t *testing.T, dir string, s *simulation) {
	for name, data := range map[string][]byte{"batches": s.batches.Bytes(), "replies": s.replies.Bytes()} {
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d.%s", s.seed, name)), data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSeededStreams checks the rules that bind every reply, on streams that lead deep into the states of the
// gateways, and that the same batches give the same replies.
func TestSeededStreams(t *testing.T) {
	seen := map[uint8]int{}
	for seed := range uint64(*seedCount) {
		s := drive(t, seed, seen)
		if t.Failed() {
			return
		}
		if again, err := replay(s.batches.Bytes()); err != nil || !bytes.Equal(again, s.replies.Bytes()) {
			t.Fatalf("seed %d: the same batches gave other replies (%v)", seed, err)
		}
		if *recordDir != "" {
			record(t, *recordDir, s)
		}
		t.Logf("seed %d: %d batches, %d requests, %.0f s", seed, s.batchSeq, len(s.requests), s.until)
	}
	for code, name := range map[uint8]string{actionSendAttempt: "PassOn", actionReject: "Decline", actionFailRequest: "Abort",
		actionSetTimer: "Sleep", actionCounterAdd: "Count", actionCancelAttempt: "DropAttempt", actionPollEndpoints: "StreamChanges"} {
		if seen[code] == 0 {
			t.Errorf("no stream led to a %s", name)
		}
	}
	t.Logf("actions by code: %v", seen)
}
