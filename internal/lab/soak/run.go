package soak

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/pause"
	"amberlb/internal/lab/real"
	"amberlb/internal/lab/registry"
)

const (
	quickest  = 2 * time.Millisecond // of the backends' service times
	slowest   = 40 * time.Millisecond
	startMost = 30 * time.Second // for a gateway to be ready
	lastWait  = 2 * time.Second  // after the last client, for attempts to end at the backends
)

// Options are a run's.
type Options struct {
	Program real.Program
	Env     []string // for the program
	Log     *slog.Logger
}

// Result is what a run gave.
type Result struct {
	Plan    Plan
	History History
	Verdict Verdict
	Partial bool // it was interrupted
}

// run is a run under way.
type run struct {
	plan     Plan
	options  Options
	clock    Clock
	backends []*Backend
	backing  []*Proxy // before the backends
	nodes    []*node
	registry *registry.Registry
	finding  *Proxy // before it
	listed   []gateway.Instance

	mu       sync.Mutex
	sendings []Sending
	lives    []Life
	changes  []Change
	requests int
}

// node is one gateway through all its lives.
type node struct {
	number int
	setup  Setup
	proxy  *Proxy // before it

	mu       sync.Mutex
	life     int
	admitted bool // the front brings new connections
	abrupt   int  // the last life that was killed with no warning
	process  *real.Gateway
	record   Life
}

// Run plays a plan and checks what was recorded. An error says that the run could not be set up; all that it
// started has ended when it returns.
func Run(ctx context.Context, plan Plan, options Options) (result Result, err error) {
	r := &run{plan: plan, options: options, clock: NewClock()}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Until(r.clock.At(plan.Length)))
	defer cancel()
	var playing sync.WaitGroup
	for i := range plan.Gateways * plan.Workers {
		playing.Go(func() { r.work(ctx, uint64(i)) })
	}
	for _, n := range r.nodes {
		playing.Go(func() { r.crowd(ctx, n) })
	}
	for _, n := range r.nodes {
		playing.Go(func() { r.restarts(ctx, n) })
	}
	playing.Go(func() { r.drain(ctx) })
	playing.Go(func() { r.outages(ctx) })
	playing.Wait()
	result.Partial = !errors.Is(ctx.Err(), context.DeadlineExceeded)
	r.endAll()
	time.Sleep(lastWait)
	result.Plan = plan
	result.History = History{Sendings: r.sendings, Lives: r.lives, Changes: r.changes, Outages: plan.Outages}
	for _, b := range r.backends {
		result.History.Attempts = append(result.History.Attempts, b.Attempts()...)
	}
	result.Verdict = Check(result.History)
	return result, nil
}

// start starts the stand-ins and the gateways.
func (r *run) start(ctx context.Context) error {
	var list []gateway.Instance
	for i := range r.plan.Backends {
		b, err := StartBackend(fmt.Sprintf("b-%d", i), r.clock, r.behavior(i))
		if err != nil {
			return err
		}
		r.backends = append(r.backends, b)
		p, err := StartProxy(b.Address(), r.plan.Backing, r.plan.Seed+uint64(i))
		if err != nil {
			return err
		}
		r.backing = append(r.backing, p)
		list = append(list, gateway.Instance{ID: b.Name, HostPort: p.Address(), Zone: "a", MachineType: "m", Lifecycle: "Ready", Weight: 1})
	}
	r.listed = list
	r.registry = registry.New(slices.Clone(list), registry.Options{})
	found, err := r.registry.Start(context.WithoutCancel(ctx))
	if err != nil {
		return err
	}
	if r.finding, err = StartProxy(found, Trouble{}, r.plan.Seed); err != nil {
		return err
	}
	for i := range r.plan.Gateways {
		listen, err := real.FreeAddress()
		if err != nil {
			return err
		}
		n := &node{number: i, setup: Setup{Name: fmt.Sprintf("n%d", i), Listen: listen, Discovery: r.finding.Address(), Sockets: r.plan.Sockets,
			Classes: r.plan.Classes, Env: r.options.Env}}
		if n.proxy, err = StartProxy(listen, r.plan.Clients, r.plan.Seed+uint64(1000+i)); err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		if err := r.begin(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// close ends what is left.
func (r *run) close() {
	for _, n := range r.nodes {
		if n.process != nil {
			n.process.Close()
		}
		n.proxy.Close()
	}
	for _, p := range r.backing {
		p.Close()
	}
	for _, b := range r.backends {
		b.Close()
	}
	if r.finding != nil {
		r.finding.Close()
	}
	if r.registry != nil {
		r.registry.Close()
	}
}

// behavior is what a backend does. Some hang from just before a SIGTERM to after its SIGKILL.
func (r *run) behavior(number int) func(time.Duration) Behavior {
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(100+number)))
	var mu sync.Mutex
	return func(now time.Duration) Behavior {
		mu.Lock()
		defer mu.Unlock()
		for i, s := range r.plan.Stops {
			hangs := (number+i)%r.plan.Backends < r.plan.Hanging
			if hangs && now > s.At-200*time.Millisecond && now < s.At+KillAfter(r.plan.Classes) {
				return Behavior{Hang: true}
			}
		}
		return Behavior{Service: span(rng, quickest, slowest)}
	}
}

// begin starts a gateway's next process and lets the front bring clients once it is ready.
func (r *run) begin(ctx context.Context, n *node) error {
	n.mu.Lock()
	n.life++
	n.mu.Unlock()
	n.record = Life{Gateway: n.number, Number: n.life, Started: r.clock.Now()}
	options, err := n.setup.Options()
	if err != nil {
		return err
	}
	// The end of the run doesn't kill the process: it is stopped as ever.
	if n.process, err = real.Start(context.WithoutCancel(ctx), r.options.Program, options); err != nil {
		return err
	}
	if _, err := n.process.Ready(ctx, startMost); err != nil {
		if ctx.Err() == nil {
			n.record.neverStarted = true
		} else {
			n.record.abrupt, n.record.Killed = true, r.clock.Now()
		}
		r.ended(n)
		return err
	}
	n.record.Ready = r.clock.Now()
	n.admit(true)
	return nil
}

// ended records the end of a process.
func (r *run) ended(n *node) {
	n.record.Err, n.record.Ended, n.record.Log = n.process.Close(), r.clock.Now(), n.process.Log()
	n.process = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives = append(r.lives, n.record)
}

func (n *node) admit(yes bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.admitted = yes
}

// restarts plays the stops of one gateway.
func (r *run) restarts(ctx context.Context, n *node) {
	for _, s := range r.plan.Stops {
		if s.Gateway != n.number {
			continue
		}
		if !pause.For(ctx, time.Until(r.clock.At(s.At-time.Second))) {
			return
		}
		r.stop(n, s)
		if !pause.For(ctx, s.Rest) {
			return
		}
		if err := r.begin(ctx, n); err != nil && ctx.Err() == nil {
			r.options.Log.Error("a gateway does not start", "gateway", n.number, "error", err)
		}
		if n.process == nil {
			return
		}
	}
}

// stop ends a process as a planned restart does, with more signals beside.
func (r *run) stop(n *node, s Stop) {
	type moment struct {
		at     time.Duration
		signal syscall.Signal
	}
	if s.Abrupt {
		r.kill(n, s)
		return
	}
	moments := []moment{{s.At, syscall.SIGTERM}}
	for _, extra := range s.Signals {
		moments = append(moments, moment{s.At + extra.After, extra.Signal})
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return int(a.at - b.at) })
	front := time.AfterFunc(time.Until(r.clock.At(s.At+s.Front)), func() { n.admit(false) })
	defer front.Stop()
	kill := s.At + KillAfter(r.plan.Classes)
	for _, m := range moments {
		if m.at < kill && !r.await(n, m.at) {
			break
		}
		if m.at >= kill {
			continue
		}
		if m.signal == syscall.SIGTERM && n.record.Stopped == 0 {
			n.record.Stopped = r.clock.Now()
			kill = n.record.Stopped + KillAfter(r.plan.Classes)
		}
		n.record.signals = append(n.record.signals, signal{At: r.clock.Now(), Name: m.signal.String()})
		n.process.Signal(m.signal)
	}
	if r.await(n, kill) {
		n.record.Killed = r.clock.Now()
		n.process.Signal(syscall.SIGKILL)
	}
	n.admit(false)
	r.ended(n)
}

// kill ends a process with no warning; the front notices only later.
func (r *run) kill(n *node, s Stop) {
	r.await(n, s.At)
	n.mu.Lock()
	n.abrupt = n.life
	n.mu.Unlock()
	n.record.abrupt, n.record.Killed = true, r.clock.Now()
	n.process.Signal(syscall.SIGKILL)
	time.Sleep(s.Front)
	n.admit(false)
	r.ended(n)
}

// drain plays the changes of the list.
func (r *run) drain(ctx context.Context) {
	for _, d := range r.plan.Drains {
		for _, step := range []struct {
			at        time.Duration
			lifecycle string
		}{{d.At, "Terminating"}, {d.Gone, "Gone"}, {d.BackAt, "Ready"}} {
			if !pause.For(ctx, time.Until(r.clock.At(step.at))) {
				return
			}
			entry := r.listed[d.Backend]
			entry.Lifecycle = step.lifecycle
			r.registry.Change([]gateway.Instance{entry})
			r.mu.Lock()
			r.changes = append(r.changes, Change{Backend: entry.ID, At: r.clock.Now(), Ready: step.lifecycle == "Ready"})
			r.mu.Unlock()
		}
	}
}

// outages plays the silences of discovery.
func (r *run) outages(ctx context.Context) {
	for _, o := range r.plan.Outages {
		if !pause.For(ctx, time.Until(r.clock.At(o.From))) {
			return
		}
		r.finding.Silence(true)
		pause.For(ctx, time.Until(r.clock.At(o.To)))
		r.finding.Silence(false)
	}
}

// await waits for a moment. It returns false if the process ends first.
func (r *run) await(n *node, at time.Duration) bool {
	select {
	case <-n.process.Done():
		return false
	case <-time.After(time.Until(r.clock.At(at))):
		return true
	}
}

// endAll stops what still runs, at the end.
func (r *run) endAll() {
	var ending sync.WaitGroup
	for _, n := range r.nodes {
		if n.process != nil {
			ending.Go(func() { r.stop(n, Stop{At: r.clock.Now()}) })
		}
	}
	ending.Wait()
}
