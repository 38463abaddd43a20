package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"amberlb/policy"
)

// Backend decides what an attempt meets at a backend of a hollow gateway: how long it takes and how it ends.
// It is called on the loop and must not wait.
type Backend interface {
	Serve(id policy.BackendID) (time.Duration, policy.Outcome)
}

// Hollow is a gateway without sockets to clients and backends, so that a process holds many. Its loop, its watch
// of discovery and its calls to the counter are those of the real one.
type Hollow struct {
	config Config
	loop   *Loop
	calls  *counter // nil where the deployment has none
	ready  chan struct{}
}

// NewHollow makes a hollow gateway. Of the configuration, Name, Listen, Known and the limits mean nothing to it.
// It returns an error where the rest could not be run with.
func NewHollow(c *Config, backend Backend) (*Hollow, error) {
	h := &Hollow{config: *c, ready: make(chan struct{})}
	h.config.Listen, h.config.Cores, h.config.MemoryMB, h.config.Sockets = "127.0.0.1:0", 1, leastMemoryMB, leastSockets
	if err := h.config.check(); err != nil {
		return nil, err
	}
	if c.Settings.Counter {
		h.calls = newCounter(c.Counter, seconds(c.CounterTimeout))
	}
	at := &hollowBackends{backend: backend}
	h.loop = newLoop(&h.config, at, h.calls, sync.OnceFunc(func() { close(h.ready) }))
	at.loop = h.loop
	return h, nil
}

// Run works until ctx ends. Requests that are open then are answered 500.
func (h *Hollow) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { h.loop.run(ctx) })
	wg.Go(func() { newWatcher(h.config.Discovery, seconds(h.config.DrainGrace), false, h.loop.hear).run(ctx) })
	if h.calls != nil {
		wg.Go(func() { h.calls.run(ctx) })
	}
	wg.Wait()
	for _, x := range h.loop.live { // the loop has ended: they are nobody's
		for _, a := range x.attempts {
			if !a.ended {
				a.callOff()
			}
		}
	}
	h.loop.attempts.Wait()
}

// Ready is closed once discovery has told the list of backends.
func (h *Hollow) Ready() <-chan struct{} { return h.ready }

// Ask gives the gateway a request under a client's id, without waiting. Deadline is the client's patience in
// seconds from now; the class's own deadline bounds it. The request's ID and Sent are set here. sent is called
// once, on the loop, when the first attempt has reached a backend; it must not wait. answered is called once, on
// a goroutine of its own, with the status and the seconds of Retry-After, 0 for none. A gateway that has ended
// answers 500; one that was never run does not answer.
func (h *Hollow) Ask(r policy.Request, id string, sent func(), answered func(status int, retryAfter float64)) {
	r.SentAt = h.loop.clock.now()
	r.Deadline = min(r.Deadline, h.config.Classes[r.Class].Deadline) + r.SentAt - answerMargin
	x := &exchange{id: id, ask: r, reply: make(chan answer, 1), sent: sync.OnceFunc(sent)}
	go func() {
		if !h.loop.post(arrival{x}) {
			answered(http.StatusInternalServerError, 0)
			return
		}
		select {
		case a := <-x.reply:
			answered(a.status, a.retryAfter)
		case <-h.loop.stopped:
			answered(http.StatusInternalServerError, 0)
		}
	}()
}

// Calls tells how many calls to the counter have been made, and how many of these ended without its answer.
func (h *Hollow) Calls() (made, unanswered uint64) {
	return h.loop.made.Load(), h.loop.unanswered.Load()
}

// hollowBackends stands where the real gateway has its pools.
type hollowBackends struct {
	loop    *Loop
	backend Backend
}

// The loop's own names tell which backends may be reached.
func (b *hollowBackends) update(policy.BackendID, string, float64) {}
func (b *hollowBackends) remove(policy.BackendID)                  {}

// begin runs an attempt on a timer. Either the timer or the end of the attempt's context reports its end: whoever
// takes the other off first.
func (b *hollowBackends) begin(a *attempt, done func(result)) {
	if _, listed := b.loop.names[a.backend]; !listed {
		go done(result{outcome: policy.ConnectFailed}) // done posts to the loop, which is the caller
		return
	}
	a.written()
	a.x.sent()
	took, outcome := b.backend.Serve(a.backend)
	var timer *time.Timer
	stop := context.AfterFunc(a.ctx, func() {
		timer.Stop()
		done(result{outcome: policy.Cancelled})
	})
	timer = time.AfterFunc(took, func() {
		if stop() {
			done(result{outcome: outcome})
		}
	})
}
