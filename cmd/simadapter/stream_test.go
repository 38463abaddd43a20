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
	eventAttach, eventSync, eventAsk, eventEstablished, eventAttemptEnd  = 16, 17, 18, 19, 20
	eventAborted, eventAlarm, eventChecked, eventPeerData, eventTeardown = 21, 22, 23, 24, 25
	eventCounterReply, eventManifest, eventFor                           = 26, 27, 28

	actionAskLoad, actionDropAttempt, actionSleep, actionCount, actionDecline = 80, 81, 82, 85, 86
	actionSpeaking, actionStreamChanges, actionAbort, actionPassOn            = 87, 88, 89, 91

	statusServed, statusError, statusFull, statusTimeout, statusConnectFailed = 0, 255, 254, 253, 252
	statusReset, statusCancelled, statusMoot                                  = 251, 250, 249

	listFull, listDelta, listCached, listFailed = 0, 1, 2, 3
	stateGone, stateReady, stateDraining        = 0, 1, 2

	flagClientRepeat  = 2
	headerAfterLength = 8  // bytes of a batch header that the length counts
	maxManifests      = 16 // lists that can be in use at a time
)

// provesNeverRan tells whether a status proves that an attempt had no effect.
func provesNeverRan(status uint8) bool {
	return status == statusFull || status == statusConnectFailed || status == statusMoot
}

// frame builds the records of one instance in a batch.
type frame struct {
	data    []byte
	records uint32
}

func (f *frame) start(code uint8) { f.data, f.records = append(f.data, code), f.records+1 }
func (f *frame) u8(v uint8)       { f.data = append(f.data, v) }
func (f *frame) u16(v int)        { f.data = binary.BigEndian.AppendUint16(f.data, uint16(v)) }
func (f *frame) u32(v uint32)     { f.data = binary.BigEndian.AppendUint32(f.data, v) }
func (f *frame) u64(v uint64)     { f.data = binary.BigEndian.AppendUint64(f.data, v) }
func (f *frame) f64(v float64)    { f.u64(math.Float64bits(v)) }
func (f *frame) f32(v float64)    { f.u32(math.Float32bits(float32(v))) }

// reader takes fields from a reply; a reply that is too short panics, which fails the test.
type reader []byte

func (r *reader) number(n int) (v uint64) {
	for _, b := range (*r)[:n] {
		v = v<<8 | uint64(b)
	}
	*r = (*r)[n:]
	return v
}
func (r *reader) u8() uint8    { return uint8(r.number(1)) }
func (r *reader) u32() uint32  { return uint32(r.number(4)) }
func (r *reader) f64() float64 { return math.Float64frombits(r.number(8)) }
func (r *reader) f32() float64 { return float64(math.Float32frombits(r.u32())) }

// simEvent is something due at a time: an event for an instance in its present life, or a change of the world.
type simEvent struct {
	at     float64
	list   bool // discovery's news come first in a batch
	happen func()
}

// simGateway is one instance: what it has been told and the part of the batch that is for it.
type simGateway struct {
	number, rank int
	life         int // counts the starts
	attached     bool
	subscribed   bool
	held         map[uint32]simBackend // the list as this instance was told it
	part         frame
}

// simulation generates one stream and checks the replies to it.
type simulation struct {
	draws
	t           *testing.T
	seed        uint64
	settings    simSettings
	now, until  float64
	tick        float64 // now in ticks
	batch       uint32
	pending     []simEvent // by time
	gateways    []*simGateway
	backends    []*simBackend
	cached      []simBackend // the list as instances hold it over a restart
	customers   []*simCustomer
	requests    map[uint32]*simRequest
	nextRequest uint32
	manifest    uint32
	counter     map[uint64]simCounter
	counterMood string
	lastReply   map[simCall]float64
	seen        map[uint8]int // actions by code
	adapterIn   io.Writer
	adapterOut  io.Reader
	batches     bytes.Buffer
	replies     bytes.Buffer
}

// after schedules something; it happens in a later batch.
func (s *simulation) after(delay float64, happen func()) { s.schedule(delay, false, happen) }

func (s *simulation) schedule(delay float64, list bool, happen func()) {
	e := simEvent{s.now + max(delay, 0), list, happen}
	at, _ := slices.BinarySearchFunc(s.pending, e.at, func(p simEvent, at float64) int {
		if p.at <= at { // events of the same time keep their order
			return -1
		}
		return 1
	})
	s.pending = slices.Insert(s.pending, at, e)
}

// tell schedules an event for an instance; it is void if that is stopped before.
func (s *simulation) tell(g *simGateway, delay float64, write func(f *frame)) {
	life := g.life
	s.after(delay, func() {
		if g.attached && g.life == life {
			write(&g.part)
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
		s.now, s.batch = now, s.batch+1
		n := slices.IndexFunc(s.pending, func(e simEvent) bool { return e.at > now })
		if n < 0 {
			n = len(s.pending)
		}
		due := slices.Clone(s.pending[:n])
		s.pending = slices.Delete(s.pending, 0, n)
		for _, list := range []bool{true, false} {
			for _, e := range due {
				if e.list == list {
					e.happen()
				}
			}
		}
		if err := s.exchange(); err != nil {
			return fmt.Errorf("batch %d: %w", s.batch, err)
		}
	}
	return nil
}

// exchange sends the batch that has been put together and takes the reply.
func (s *simulation) exchange() error {
	var head, body frame
	for _, g := range s.gateways {
		if g.part.records > 0 {
			body.start(eventFor)
			body.u32(uint32(g.number))
			body.data, body.records = append(body.data, g.part.data...), body.records+g.part.records
			g.part = frame{data: g.part.data[:0]}
		}
	}
	head.f64(s.now)
	head.u32(uint32(len(body.data) + headerAfterLength))
	head.u32(body.records)
	head.u32(s.batch)
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
	return s.obey(reply[4:])
}

// obey lets the actions of a reply have their effects.
func (s *simulation) obey(r reader) error {
	records, number := r.u32(), r.u32()
	if number != s.batch {
		return fmt.Errorf("the reply is to batch %d", number)
	}
	var g *simGateway
	for range records {
		code := r.u8()
		s.seen[code]++
		switch code {
		case actionSpeaking:
			g = s.gateways[r.u32()]
		case actionSleep:
			delay, token := r.f64(), r.number(8)
			s.tell(g, delay, func(f *frame) { f.start(eventAlarm); f.u64(token) })
		case actionCount:
			name, amount, keep := r.number(8), r.f32(), r.f64()
			s.count(g, name, amount, keep)
		case actionStreamChanges:
			r.u8()
			s.subscribe(g)
		case actionAskLoad:
			s.probe(g, r.u32())
		case actionPassOn:
			req := s.known(g, r.u32())
			patience, backend := r.f64(), r.u32()
			s.send(req, patience, backend)
		case actionDropAttempt:
			req := s.known(g, r.u32())
			s.cancel(req, int(r.u8()))
		case actionDecline, actionAbort:
			req := s.known(g, r.u32())
			if code == actionDecline {
				s.repeatLater(req, r.f64())
			}
			s.answer(req, code == actionDecline)
		default:
			return fmt.Errorf("unexpected action %d", code)
		}
	}
	return nil
}

// known finds the request that an action names.
func (s *simulation) known(g *simGateway, id uint32) *simRequest {
	req := s.requests[id]
	if req == nil || req.gateway != g || !req.alive() {
		s.t.Fatalf("seed %d batch %d: an action names request %d, which instance %d does not hold",
			s.seed, s.batch, id, g.number)
	}
	return req
}

func (s *simulation) fault(req *simRequest, what string) {
	s.t.Errorf("seed %d batch %d (%.3f s): request %d (%s %s): %s", s.seed, s.batch, s.now, req.id, req.class.Effect,
		req.class.KeyScope, what)
}

// alive tells whether the instance still runs that took the request.
func (req *simRequest) alive() bool { return req.gateway.attached && req.gateway.life == req.life }

// mayRepeatEffect tells whether an attempt on b could be a second effect; without b, whether a claim that there
// was none, as Decline makes, could be wrong.
func (req *simRequest) mayRepeatEffect(b *simBackend, now float64) bool {
	return slices.ContainsFunc(req.attempts, func(a simAttempt) bool {
		switch {
		case !a.mayHaveRun || req.class.Effect == "repeatable":
			return false
		case req.class.Effect == "once":
			return true
		case b == nil:
			return req.class.KeyScope != "all"
		}
		return now > a.sentAt+req.class.WindowS || req.class.KeyScope == "zone" && a.backend.zone != b.zone ||
			req.class.KeyScope == "cell" && a.backend.cell != b.cell
	})
}

// checkSend holds the rules on a further attempt.
func (s *simulation) checkSend(req *simRequest, b *simBackend) {
	out := slices.ContainsFunc(req.attempts, func(a simAttempt) bool { return a.out })
	for _, rule := range []struct {
		broken bool
		what   string
	}{
		{req.owned || req.over && req.overIn < s.batch, "sent after its end"},
		{req.stream > 0 && req.streamIn < s.batch, "sent after its stream had started"},
		{req.gateway.held[b.id].state != stateReady, "sent to a backend that is not ready"},
		{len(req.attempts) >= s.settings.Allowed.MostTries, "more attempts than allowed"},
		{out && !s.settings.Allowed.MayDuplicate, "two attempts out at once"},
		{req.mayRepeatEffect(b, s.now), "sent where a second effect is possible"},
	} {
		if rule.broken {
			s.fault(req, rule.what)
		}
	}
}

// answer takes a final answer of the adapter. One that crosses the end of its request in the same batch is void.
func (s *simulation) answer(req *simRequest, declined bool) {
	switch {
	case req.owned || req.over && req.overIn < s.batch:
		s.fault(req, "a second final answer")
	case req.over:
		return
	case req.stream > 0 && req.streamIn < s.batch:
		s.fault(req, "answered after its stream had started")
	case s.now > req.deadline+s.settings.Obligations.AnswerSlackS:
		s.fault(req, "answered too late")
	case declined && req.mayRepeatEffect(nil, s.now):
		s.fault(req, "declined though it may have run")
	}
	req.over, req.owned, req.overIn = true, true, s.batch
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
		t.Logf("seed %d: %d batches, %d requests, %.0f s", seed, s.batch, len(s.requests), s.until)
	}
	for code, name := range map[uint8]string{actionPassOn: "PassOn", actionDecline: "Decline", actionAbort: "Abort",
		actionSleep: "Sleep", actionCount: "Count", actionDropAttempt: "DropAttempt", actionStreamChanges: "StreamChanges"} {
		if seen[code] == 0 {
			t.Errorf("no stream led to a %s", name)
		}
	}
	t.Logf("actions by code: %v", seen)
}
