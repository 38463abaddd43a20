package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"amberlb/policy"
)

// SimulatedBackend decides how long an attempt of a hollow gateway takes at a backend and how it ends.
// Serve is called on the gateway's event loop and must not block.
type SimulatedBackend interface {
	Serve(id policy.BackendID) (time.Duration, policy.Outcome)
}

// Hollow is a gateway without sockets to clients and backends, so that many fit in a process. Its event
// loop, its discovery watcher and its counter client are those of the real gateway.
type Hollow struct {
	config  Config
	loop    *eventLoop
	counter *counterClient // nil where the deployment has none
	ready   chan struct{}  // closed by the first list
}

// NewHollow makes a hollow gateway. It ignores Name, Listen, the cached endpoints and the limits of the
// configuration, and returns an error where the rest is invalid.
func NewHollow(c *Config, backend SimulatedBackend) (*Hollow, error) {
	h := &Hollow{config: *c, ready: make(chan struct{})}
	h.config.Listen = "127.0.0.1:0"
	h.config.Cores = 1
	h.config.MemoryMB = minMemoryMB
	h.config.Sockets = minSockets
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

// Run runs the gateway until ctx ends. Requests that are open then are answered with 500.
func (h *Hollow) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { h.loop.run(ctx) })
	parts.Go(func() {
		newDiscoveryWatcher(h.config.Discovery, seconds(h.config.DrainGrace), false, h.loop.endpointsUpdated).run(ctx)
	})
	if h.counter != nil {
		parts.Go(func() { h.counter.run(ctx) })
	}
	parts.Wait()
	h.cancelAttempts()
	h.loop.attempts.Wait()
}

// cancelAttempts cancels the attempts that are still in flight. It may be called once the loop, which owns
// them, has ended.
func (h *Hollow) cancelAttempts() {
	for _, req := range h.loop.requests {
		for _, a := range req.attempts {
			if !a.ended {
				a.cancel()
			}
		}
	}
}

// Ready is closed once the first list of backends has arrived from discovery.
func (h *Hollow) Ready() <-chan struct{} { return h.ready }

// Submit gives the gateway a request under a client's correlation id, without waiting.
//
// decoded.Deadline is the time that the client waits, in seconds from now; the class's own deadline bounds
// it. The ID and SentAt of the request are set by the gateway. onSent is called once, on the event loop,
// when the first attempt has reached a backend; it must not block. onAnswered is called once, on a
// goroutine of its own, with the status and the seconds of Retry-After, 0 for none. A gateway that has
// ended answers with 500; one that was never run does not answer.
func (h *Hollow) Submit(
	decoded policy.Request, correlationID string, onSent func(), onAnswered func(status int, retryAfter float64),
) {
	decoded.SentAt = h.loop.clock.now()
	decoded.Deadline = min(decoded.Deadline, h.config.Classes[decoded.Class].Deadline) + decoded.SentAt - responseMargin
	req := &clientRequest{
		correlationID: correlationID,
		decoded:       decoded,
		response:      make(chan clientResponse, 1),
		onSent:        sync.OnceFunc(onSent),
	}
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

// CounterCalls returns how many calls to the counter have been made, and how many of these ended without
// its answer.
func (h *Hollow) CounterCalls() (made, unanswered uint64) {
	return h.loop.counterCalls.Load(), h.loop.counterCallsUnanswered.Load()
}

// hollowTransport takes the place of the real gateway's connection pools.
type hollowTransport struct {
	loop    *eventLoop
	backend SimulatedBackend
}

// updateEndpoint does nothing: the loop's names of the listed backends tell which ones may be reached.
func (t *hollowTransport) updateEndpoint(policy.BackendID, string, float64) {}

// removeEndpoint does nothing, as updateEndpoint.
func (t *hollowTransport) removeEndpoint(policy.BackendID) {}

// startAttempt runs an attempt on a timer. The end of the attempt is reported by the timer or by the end of
// the attempt's context, whichever stops the other.
func (t *hollowTransport) startAttempt(a *attempt, onDone func(attemptResult)) {
	if _, listed := t.loop.backendNames[a.backend]; !listed {
		go onDone(attemptResult{outcome: policy.ConnectFailed}) // onDone posts to the loop, which is the caller
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
