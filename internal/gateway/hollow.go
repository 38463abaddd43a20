package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"amberlb/policy"
)

// SimulatedBackend decides what an attempt meets at a backend of a hollow gateway: how long it takes and how it ends.
// It is called on the loop and must not wait.
type SimulatedBackend interface {
	Serve(id policy.BackendID) (time.Duration, policy.Outcome)
}

// Hollow is a gateway without sockets to clients and backends, so that a process holds many. Its loop, its watch
// of discovery and its calls to the counter are those of the real one.
type Hollow struct {
	config  Config
	loop    *eventLoop
	counter *counterClient // nil where the deployment has none
	ready   chan struct{}
}

// NewHollow makes a hollow gateway. Of the configuration, Name, Listen, Known and the limits mean nothing to it.
// It returns an error where the rest could not be run with.
func NewHollow(c *Config, backend SimulatedBackend) (*Hollow, error) {
	h := &Hollow{config: *c, ready: make(chan struct{})}
	h.config.Listen, h.config.Cores, h.config.MemoryMB, h.config.Sockets = "127.0.0.1:0", 1, minMemoryMB, minSockets
	if err := h.config.validate(); err != nil {
		return nil, err
	}
	if c.Settings.Counter {
		h.counter = newCounterClient(c.Counter, seconds(c.CounterTimeout))
	}
	transport := &hollowTransport{backend: backend}
	h.loop = newEventLoop(&h.config, transport, h.counter, sync.OnceFunc(func() { close(h.ready) }))
	transport.loop = h.loop
	return h, nil
}

// Run works until ctx ends. Requests that are open then are answered 500.
func (h *Hollow) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { h.loop.run(ctx) })
	wg.Go(func() {
		newDiscoveryWatcher(h.config.Discovery, seconds(h.config.DrainGrace), false, h.loop.endpointsUpdated).run(ctx)
	})
	if h.counter != nil {
		wg.Go(func() { h.counter.run(ctx) })
	}
	wg.Wait()
	for _, req := range h.loop.requests { // the loop has ended: they are nobody's
		for _, a := range req.attempts {
			if !a.ended {
				a.cancel()
			}
		}
	}
	h.loop.attempts.Wait()
}

// Ready is closed once discovery has told the list of backends.
func (h *Hollow) Ready() <-chan struct{} { return h.ready }

// Submit gives the gateway a request under a client's id, without waiting. Deadline is the client's patience in
// seconds from now; the class's own deadline bounds it. The request's ID and Sent are set here. sent is called
// once, on the loop, when the first attempt has reached a backend; it must not wait. answered is called once, on
// a goroutine of its own, with the status and the seconds of Retry-After, 0 for none. A gateway that has ended
// answers 500; one that was never run does not answer.
func (h *Hollow) Submit(decoded policy.Request, correlationID string, onSent func(), onAnswered func(status int, retryAfter float64)) {
	decoded.SentAt = h.loop.clock.now()
	decoded.Deadline = min(decoded.Deadline, h.config.Classes[decoded.Class].Deadline) + decoded.SentAt - responseMargin
	req := &clientRequest{correlationID: correlationID, decoded: decoded, response: make(chan clientResponse, 1), onSent: sync.OnceFunc(onSent)}
	go func() {
		if !h.loop.post(requestArrived{req}) {
			onAnswered(http.StatusInternalServerError, 0)
			return
		}
		select {
		case response := <-req.response:
			onAnswered(response.status, response.retryAfter)
		case <-h.loop.stopped:
			onAnswered(http.StatusInternalServerError, 0)
		}
	}()
}

// CounterCalls tells how many calls to the counter have been made, and how many of these ended without its answer.
func (h *Hollow) CounterCalls() (made, unanswered uint64) {
	return h.loop.counterCalls.Load(), h.loop.counterCallsUnanswered.Load()
}

// hollowTransport stands where the real gateway has its pools.
type hollowTransport struct {
	loop    *eventLoop
	backend SimulatedBackend
}

// The loop's own names tell which backends may be reached.
func (t *hollowTransport) updateEndpoint(policy.BackendID, string, float64) {}
func (t *hollowTransport) removeEndpoint(policy.BackendID)                  {}

// startAttempt runs an attempt on a timer. Either the timer or the end of the attempt's context reports its end: whoever
// takes the other off first.
func (t *hollowTransport) startAttempt(a *attempt, onDone func(attemptResult)) {
	if _, listed := t.loop.instanceNames[a.backend]; !listed {
		go onDone(attemptResult{outcome: policy.ConnectFailed}) // done posts to the loop, which is the caller
		return
	}
	a.markWritten()
	a.request.onSent()
	latency, outcome := t.backend.Serve(a.backend)
	var timer *time.Timer
	stop := context.AfterFunc(a.ctx, func() {
		timer.Stop()
		onDone(attemptResult{outcome: policy.Cancelled})
	})
	timer = time.AfterFunc(latency, func() {
		if stop() {
			onDone(attemptResult{outcome: outcome})
		}
	})
}
