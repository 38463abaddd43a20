package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"amberlb/policy"
)

// SimulatedBackend simulates the backends of a hollow gateway. Serve returns the latency and the outcome of an attempt
// at a backend. It is called on the gateway's event loop and must not block.
type SimulatedBackend interface {
	Serve(id policy.BackendID) (time.Duration, policy.Outcome)
}

// Hollow is a hollow gateway: a gateway without sockets to clients and backends. Many hollow gateways fit in one
// process, so that a large fleet can be measured. Its event loop, discovery watcher and counter client are those of the
// real gateway.
type Hollow struct {
	config  Config
	loop    *eventLoop
	counter *counterClient // nil if the deployment has none
	ready   chan struct{}  // closed when the first endpoint list has arrived
}

// NewHollow returns a hollow gateway. It ignores the configuration's Name, Listen, CachedEndpoints, Cores, MemoryMB and
// Sockets. It returns an error if another setting is invalid.
func NewHollow(c *Config, backend SimulatedBackend) (*Hollow, error) {
	h := &Hollow{config: *c, ready: make(chan struct{})}
	h.config.Listen = "127.0.0.1:0"
	h.config.Cores = 1
	h.config.MemoryMB = minMemoryMB
	h.config.Sockets = minSockets
	if err := h.config.validate(); err != nil {
		return nil, err
	}
	if c.Settings.HasCounter {
		h.counter = newCounterClient(c.Counter, toDuration(c.CounterTimeout))
	}
	transport := &hollowTransport{backend: backend}
	h.loop = newEventLoop(&h.config, transport, h.counter, sync.OnceFunc(func() { close(h.ready) }))
	transport.loop = h.loop
	return h, nil
}

// Run runs the gateway until ctx ends. Requests that are open at the end are answered with status 500.
func (h *Hollow) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { h.loop.run(ctx) })
	parts.Go(func() {
		newDiscoveryWatcher(h.config.Discovery, toDuration(h.config.DrainGrace), false, h.loop.postEndpointList).run(ctx)
	})
	if h.counter != nil {
		parts.Go(func() { h.counter.run(ctx) })
	}
	parts.Wait()
	h.countOpenCalls()
	h.cancelAttempts()
	h.loop.attempts.Wait()
}

// countOpenCalls counts the calls to the counter that are still open as unanswered. It is called after the loop has
// ended, since the loop owns the calls, and no call ends after that.
func (h *Hollow) countOpenCalls() {
	for _, calls := range h.loop.pendingCalls {
		for _, call := range calls {
			if !call.ended {
				h.loop.counterCallsUnanswered.Add(1)
			}
		}
	}
}

// cancelAttempts cancels the attempts that are still in flight. It is called after the loop has ended, since the loop
// owns the attempts.
func (h *Hollow) cancelAttempts() {
	for _, req := range h.loop.requests {
		for _, a := range req.attempts {
			if !a.ended {
				a.cancel()
			}
		}
	}
}

// Ready returns a channel that is closed when the first endpoint list has arrived from discovery.
func (h *Hollow) Ready() <-chan struct{} { return h.ready }

// Submit sends the gateway a request with the given correlation id, without blocking.
//
// policyRequest.Deadline is the time that the client waits, in seconds from now; the deadline of the request's class is
// the upper limit. Submit sets SentAt, and the gateway sets ID. onSent is called at most once, on the event loop, when
// the first attempt has reached a backend; it must not block. onAnswered is called once, on a separate goroutine, with
// the status and the value of Retry-After in seconds, or 0 without Retry-After. A gateway that has stopped answers with
// status 500; a gateway that was never run does not answer.
func (h *Hollow) Submit(
	policyRequest policy.Request, correlationID string, onSent func(), onAnswered func(status int, retryAfter float64),
) {
	policyRequest.SentAt = h.loop.clock.now()
	policyRequest.Deadline = min(policyRequest.Deadline, h.config.Classes[policyRequest.Class].Deadline) +
		policyRequest.SentAt - responseMargin
	req := &clientRequest{
		correlationID: correlationID,
		policyRequest: policyRequest,
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

// CounterCalls returns the number of calls that the engine made to the counter, and the number of them that ended
// without a response. Both include calls that were rejected before they were sent. After Run has returned, the
// calls that were open when the event loop ended count as unanswered, too.
func (h *Hollow) CounterCalls() (made, unanswered uint64) {
	return h.loop.counterCalls.Load(), h.loop.counterCallsUnanswered.Load()
}

// hollowTransport is the transport of a hollow gateway. It takes the results of attempts from a SimulatedBackend.
type hollowTransport struct {
	loop    *eventLoop
	backend SimulatedBackend
}

// updateEndpoint does nothing: startAttempt reads the listed backends from the event loop.
func (t *hollowTransport) updateEndpoint(policy.BackendID, string, float64) {}

// removeEndpoint does nothing: startAttempt reads the listed backends from the event loop.
func (t *hollowTransport) removeEndpoint(policy.BackendID) {}

// startAttempt simulates an attempt with a timer. It calls onDone when the timer fires or when the attempt's context
// ends, whichever happens first. An attempt at a backend that is not listed ends at once.
func (t *hollowTransport) startAttempt(a *attempt, onDone func(attemptResult)) {
	if _, listed := t.loop.readyBackends[a.backend]; !listed {
		// onDone posts to the loop and may block until the loop reads its inbox, so the loop must not call it.
		go onDone(attemptResult{outcome: policy.ConnectFailed})
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
