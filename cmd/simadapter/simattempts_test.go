package main

import (
	"fmt"
	"math"
	"slices"
)

// simAttempt is one attempt of a request at a backend. The field mayHaveExecuted is true until the attempt's status
// proves that the backend did not execute the attempt.
type simAttempt struct {
	backend         *simBackend
	sentAt          float64
	inFlight        bool
	mayHaveExecuted bool
}

// drawOutcome draws the status and the latency of an attempt at a backend.
func (s *simulation) drawOutcome(b *simBackend) (status uint8, latency float64) {
	latency = b.latency * s.between(0.5, 2) * (1 + float64(b.inFlight)/6)
	roll := s.Float64()
	switch {
	case b.state == stateRemoved || b.condition == unreachable:
		return statusConnectFailed, s.settings.Capabilities.ConnectTimeoutS
	case b.state == stateDraining || b.condition == rejecting && roll < 0.8 || b.inFlight > 30:
		return statusRejected, 0.002
	case b.condition == silent && roll < 0.9 || roll < 0.01:
		return statusTimeout, math.MaxFloat64
	case b.condition == failing && roll < 0.5 || roll < 0.02:
		return oneOf[uint8](s.randomSource, statusFailed, statusReset), latency * s.Float64()
	case b.condition == failing && roll < 0.8 || roll < 0.04:
		return statusReset, s.between(0, 2) // the reset comes after the backend has started to execute the request
	case b.condition == slow:
		latency *= 8
	}
	return statusServed, latency
}

// startAttempt sends an attempt to a backend and schedules the report of the attempt's end. In rare cases, the end is
// never reported. If the timeout is 0, only the client's deadline limits the attempt.
func (s *simulation) startAttempt(req *simRequest, timeout float64, backendID uint32) {
	i := slices.IndexFunc(s.backends, func(b *simBackend) bool { return b.id == backendID })
	if i < 0 {
		s.t.Fatalf("seed %d batch %d: no backend %d", s.seed, s.batchSeq, backendID)
	}
	b := s.backends[i]
	n := len(req.attempts)
	s.checkAttempt(req, b)
	status, latency := s.drawOutcome(b)
	req.attempts = append(req.attempts, simAttempt{backend: b, sentAt: s.now, inFlight: true, mayHaveExecuted: true})
	b.inFlight++
	limit := req.deadline - s.now
	if timeout != 0 {
		limit = min(limit, max(timeout, 0))
	}
	switch {
	case req.ended || req.streamedAttempt > 0:
		s.after(0, func() { s.endAttempt(req, n, statusNotSent) })
	case s.chance(0.01): // the end of the attempt is never reported
	case latency >= limit:
		s.after(limit, func() { s.endAttempt(req, n, statusTimeout) })
	case req.class.Streamed && status == statusServed:
		s.after(latency, func() { s.startResponse(req, n) })
	default:
		s.after(latency, func() { s.endAttempt(req, n, status) })
	}
}

// startResponse starts the streamed response of attempt n. If the request or the incarnation has ended, or the
// response of another attempt has started, it ends the attempt as cancelled instead.
func (s *simulation) startResponse(req *simRequest, n int) {
	a := req.attempts[n]
	if !a.inFlight || !req.incarnationRuns() || req.ended || req.streamedAttempt > 0 {
		s.endAttempt(req, n, statusCancelled)
		return
	}
	req.streamedAttempt = n + 1
	req.streamedInBatch = s.batchSeq
	req.instance.events.responseStarted(req.id, a.backend.id, s.now-a.sentAt, n)
	status := oneOf[uint8](s.randomSource, statusServed, statusServed, statusServed, statusReset)
	s.after(s.ExpFloat64(), func() { s.endAttempt(req, n, status) })
}

// responseStarted writes the record that the streamed response of attempt n has started.
func (w *recordWriter) responseStarted(request, backend uint32, latency float64, n int) {
	w.begin(eventResponseStarted)
	w.u32(request)
	w.u32(backend)
	w.f64(latency)
	w.u8(uint8(n))
}

// endAttempt ends attempt n if it is still in flight. The request ends with the first attempt that is served, or with
// the end of a streamed response. A second served attempt is reported as cancelled.
func (s *simulation) endAttempt(req *simRequest, n int, status uint8) {
	a := &req.attempts[n]
	if !a.inFlight {
		return
	}
	a.inFlight = false
	a.backend.inFlight--
	if !req.incarnationRuns() {
		return
	}
	streamed := req.streamedAttempt == n+1
	if status == statusServed && !streamed && (req.ended || req.streamedAttempt > 0) {
		status = statusCancelled
	}
	a.mayHaveExecuted = !provesNotExecuted(status)
	if !req.ended && (status == statusServed || streamed) {
		req.end(s.batchSeq)
	}
	actualUnits := 0
	if s.settings.QuotaCounter.UnitsEstimated && status == statusServed {
		actualUnits = s.IntN(2*s.settings.QuotaCounter.MaxUnits + 1)
	}
	s.writeAttemptEnd(&req.instance.events, req, n, status, actualUnits)
}

// writeAttemptEnd writes the record that attempt n of a request has ended.
func (s *simulation) writeAttemptEnd(w *recordWriter, req *simRequest, n int, status uint8, actualUnits int) {
	a := &req.attempts[n]
	w.begin(eventAttemptEnd)
	w.u32(req.id)
	w.u8(uint8(n))
	w.u32(a.backend.id)
	w.u8(status)
	w.f64(s.now - a.sentAt)
	w.flag(req.ended, 1)
	w.u16(s.IntN(150)) // 1 + percentage of its quota that the customer has used; 0: not known
	w.u16(actualUnits)
	s.writeLoadReport(w, s.settings.LoadReport.Delivery == "inline", a.backend)
}

// cancelAttempt cancels attempt n of a request. An attempt whose response has started continues.
func (s *simulation) cancelAttempt(req *simRequest, n int) {
	if !s.settings.Capabilities.CanCancel || n >= len(req.attempts) {
		s.reportViolation(req, fmt.Sprintf("attempt %d cannot be cancelled", n))
	} else if req.streamedAttempt != n+1 {
		s.after(0, func() { s.endAttempt(req, n, statusCancelled) })
	}
}
