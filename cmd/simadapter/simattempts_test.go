package main

import (
	"fmt"
	"math"
	"slices"
)

type simAttempt struct {
	backend         *simBackend
	sentAt          float64
	inFlight        bool
	mayHaveExecuted bool
}

// drawOutcome draws how an attempt on a backend ends and when.
func (s *simulation) drawOutcome(b *simBackend) (status uint8, took float64) {
	took = b.latency * s.between(0.5, 2) * (1 + float64(b.inFlight)/6)
	luck := s.Float64()
	switch {
	case b.state == stateRemoved || b.condition == "unreachable":
		return statusConnectFailed, s.settings.Capabilities.ConnectTimeoutS
	case b.state == stateDraining || b.condition == "rejecting" && luck < 0.8 || b.inFlight > 30:
		return statusRejected, 0.002
	case b.condition == "silent" && luck < 0.9 || luck < 0.01:
		return statusTimeout, math.MaxFloat64
	case b.condition == "failing" && luck < 0.5 || luck < 0.02:
		return oneOf[uint8](s.draws, statusFailed, statusReset), took * s.Float64()
	case b.condition == "failing" && luck < 0.8 || luck < 0.04:
		return statusReset, s.between(0, 2) // after the backend had begun
	case b.condition == "slow":
		took *= 8
	}
	return statusServed, took
}

// startAttempt starts an attempt and schedules its end, if it gets one.
func (s *simulation) startAttempt(req *simRequest, patience float64, id uint32) {
	at := slices.IndexFunc(s.backends, func(b *simBackend) bool { return b.id == id })
	if at < 0 {
		s.t.Fatalf("seed %d batch %d: no backend %d", s.seed, s.batchSeq, id)
	}
	b, n := s.backends[at], len(req.attempts)
	s.checkSend(req, b)
	status, took := s.drawOutcome(b)
	req.attempts = append(req.attempts, simAttempt{backend: b, sentAt: s.now, inFlight: true, mayHaveExecuted: true})
	b.inFlight++
	limit := req.deadline - s.now
	if patience != 0 {
		limit = min(limit, max(patience, 0))
	}
	switch {
	case req.ended || req.streamedAttempt > 0:
		s.after(0, func() { s.endAttempt(req, n, statusNotSent) })
	case s.chance(0.01): // it never gets an end
	case took >= limit:
		s.after(limit, func() { s.endAttempt(req, n, statusTimeout) })
	case req.class.Streamed && status == statusServed:
		s.after(took, func() { s.startResponse(req, n) })
	default:
		s.after(took, func() { s.endAttempt(req, n, status) })
	}
}

// startResponse starts the stream of an attempt, if no other one of its request came first.
func (s *simulation) startResponse(req *simRequest, n int) {
	a := req.attempts[n]
	if !a.inFlight || !req.instanceRuns() || req.ended || req.streamedAttempt > 0 {
		s.endAttempt(req, n, statusCancelled)
		return
	}
	req.streamedAttempt, req.streamedInBatch = n+1, s.batchSeq
	f := &req.instance.events
	f.begin(eventResponseStarted)
	f.u32(req.id)
	f.u32(a.backend.id)
	f.f64(s.now - a.sentAt)
	f.u8(uint8(n))
	status := oneOf[uint8](s.draws, statusServed, statusServed, statusServed, statusReset)
	s.after(s.ExpFloat64(), func() { s.endAttempt(req, n, status) })
}

// endAttempt ends an attempt that is still out.
func (s *simulation) endAttempt(req *simRequest, n int, status uint8) {
	a := &req.attempts[n]
	if !a.inFlight {
		return
	}
	a.inFlight = false
	a.backend.inFlight--
	if !req.instanceRuns() {
		return
	}
	streams := req.streamedAttempt == n+1
	if status == statusServed && !streams && (req.ended || req.streamedAttempt > 0) {
		status = statusCancelled
	}
	a.mayHaveExecuted = !provesNotExecuted(status)
	if !req.ended && (status == statusServed || streams) {
		req.ended, req.endedInBatch = true, s.batchSeq
	}
	trueUnits := 0
	if s.settings.QuotaCounter.UnitsEstimated && status == statusServed {
		trueUnits = s.IntN(2*s.settings.QuotaCounter.MaxUnits + 1)
	}
	s.writeAttemptEnd(&req.instance.events, req, n, status, trueUnits)
}

func (s *simulation) writeAttemptEnd(f *recordWriter, req *simRequest, n int, status uint8, trueUnits int) {
	f.begin(eventAttemptEnd)
	f.u32(req.id)
	f.u8(uint8(n))
	f.u32(req.attempts[n].backend.id)
	f.u8(status)
	f.f64(s.now - req.attempts[n].sentAt)
	f.u8(map[bool]uint8{true: 1}[req.ended])
	f.u16(s.IntN(150))
	f.u16(trueUnits)
	s.writeLoadReport(f, s.settings.LoadReport.Delivery == "inline", req.attempts[n].backend)
}

// cancelAttempt calls an attempt off.
func (s *simulation) cancelAttempt(req *simRequest, n int) {
	if !s.settings.Capabilities.CanCancel || n >= len(req.attempts) {
		s.violation(req, fmt.Sprintf("attempt %d cannot be called off", n))
	} else if req.streamedAttempt != n+1 {
		s.after(0, func() { s.endAttempt(req, n, statusCancelled) })
	}
}
