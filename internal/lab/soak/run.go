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
	"amberlb/internal/lab/ctxtime"
	"amberlb/internal/lab/discovery"
	"amberlb/internal/lab/gatewayprocess"
)

const (
	minServiceTime = 2 * time.Millisecond // of the backends' service times
	maxServiceTime = 40 * time.Millisecond
	startTimeout   = 30 * time.Second // for a gateway to be ready
	settleTime     = 2 * time.Second  // after the last client, for attempts to end at the backends
)

// Options are a run's.
type Options struct {
	Program gatewayprocess.Program
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

// runner is a run under way.
type runner struct {
	plan           Plan
	options        Options
	clock          Clock
	backends       []*Backend
	backendProxies []*Proxy // before the backends
	gateways       []*gatewayNode
	discovery      *discovery.Server
	discoveryProxy *Proxy // before it
	backendList    []gateway.EndpointEntry

	mu             sync.Mutex
	clientAttempts []ClientAttempt
	processes      []Process
	listChanges    []ListChange
	requestCount   int
}

// gatewayNode is one gateway through all its lives.
type gatewayNode struct {
	number  int
	options GatewayOptions
	proxy   *Proxy // before it

	mu                 sync.Mutex
	processNumber      int
	inRotation         bool // the front brings new connections
	lastKilledUnwarned int  // the last life that was killed with no warning
	process            *gatewayprocess.Gateway
	current            Process
}

// Run plays a plan and checks what was recorded. An error says that the run could not be set up; all that it
// started has ended when it returns.
func Run(ctx context.Context, plan Plan, options Options) (result Result, err error) {
	r := &runner{plan: plan, options: options, clock: NewClock()}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Until(r.clock.At(plan.Duration)))
	defer cancel()
	var group sync.WaitGroup
	for i := range plan.Gateways * plan.ClientsPerGateway {
		group.Go(func() { r.runClient(ctx, uint64(i)) })
	}
	for _, n := range r.gateways {
		group.Go(func() { r.holdIdleConns(ctx, n) })
	}
	for _, n := range r.gateways {
		group.Go(func() { r.playStops(ctx, n) })
	}
	group.Go(func() { r.playDrains(ctx) })
	group.Go(func() { r.playOutages(ctx) })
	group.Wait()
	result.Partial = !errors.Is(ctx.Err(), context.DeadlineExceeded)
	r.stopAll()
	time.Sleep(settleTime)
	result.Plan = plan
	result.History = History{ClientAttempts: r.clientAttempts, Processes: r.processes, ListChanges: r.listChanges, Outages: plan.Outages}
	for _, b := range r.backends {
		result.History.BackendAttempts = append(result.History.BackendAttempts, b.Attempts()...)
	}
	result.Verdict = Check(result.History)
	return result, nil
}

// start starts the stand-ins and the gateways.
func (r *runner) start(ctx context.Context) error {
	var list []gateway.EndpointEntry
	for i := range r.plan.Backends {
		b, err := StartBackend(fmt.Sprintf("b-%d", i), r.clock, r.behavior(i))
		if err != nil {
			return err
		}
		r.backends = append(r.backends, b)
		p, err := StartProxy(b.Address(), r.plan.BackendFaults, r.plan.Seed+uint64(i))
		if err != nil {
			return err
		}
		r.backendProxies = append(r.backendProxies, p)
		list = append(list, gateway.EndpointEntry{ID: b.Name, HostPort: p.Address(), Zone: "a", MachineType: "m", Lifecycle: "Ready", Weight: 1})
	}
	r.backendList = list
	r.discovery = discovery.New(slices.Clone(list), discovery.Options{})
	address, err := r.discovery.Start(context.WithoutCancel(ctx))
	if err != nil {
		return err
	}
	if r.discoveryProxy, err = StartProxy(address, NetworkFaults{}, r.plan.Seed); err != nil {
		return err
	}
	for i := range r.plan.Gateways {
		listen, err := gatewayprocess.FreeAddress()
		if err != nil {
			return err
		}
		n := &gatewayNode{number: i, options: GatewayOptions{Name: fmt.Sprintf("n%d", i), Listen: listen, Discovery: r.discoveryProxy.Address(), DescriptorLimit: r.plan.DescriptorLimit,
			Classes: r.plan.Classes, Env: r.options.Env}}
		if n.proxy, err = StartProxy(listen, r.plan.ClientFaults, r.plan.Seed+uint64(1000+i)); err != nil {
			return err
		}
		r.gateways = append(r.gateways, n)
		if err := r.startProcess(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// close ends what is left.
func (r *runner) close() {
	for _, n := range r.gateways {
		if n.process != nil {
			n.process.Close()
		}
		n.proxy.Close()
	}
	for _, p := range r.backendProxies {
		p.Close()
	}
	for _, b := range r.backends {
		b.Close()
	}
	if r.discoveryProxy != nil {
		r.discoveryProxy.Close()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
}

// behavior is what a backend does. Some hang from just before a SIGTERM to after its SIGKILL.
func (r *runner) behavior(number int) func(time.Duration) Behavior {
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(100+number)))
	var mu sync.Mutex
	return func(now time.Duration) Behavior {
		mu.Lock()
		defer mu.Unlock()
		for i, s := range r.plan.Stops {
			hanging := (number+i)%r.plan.Backends < r.plan.HangingBackends
			if hanging && now > s.At-200*time.Millisecond && now < s.At+KillAfter(r.plan.Classes) {
				return Behavior{Hang: true}
			}
		}
		return Behavior{ServiceTime: randomDuration(rng, minServiceTime, maxServiceTime)}
	}
}

// startProcess starts a gateway's next process and lets the front bring clients once it is ready.
func (r *runner) startProcess(ctx context.Context, n *gatewayNode) error {
	n.mu.Lock()
	n.processNumber++
	n.mu.Unlock()
	n.current = Process{Gateway: n.number, Number: n.processNumber, StartedAt: r.clock.Now()}
	options, err := n.options.ProcessOptions()
	if err != nil {
		return err
	}
	// The end of the run doesn't kill the process: it is stopped as ever.
	if n.process, err = gatewayprocess.Start(context.WithoutCancel(ctx), r.options.Program, options); err != nil {
		return err
	}
	if _, err := n.process.WaitReady(ctx, startTimeout); err != nil {
		if ctx.Err() == nil {
			n.current.neverReady = true
		} else {
			n.current.killedUnwarned, n.current.SigkillAt = true, r.clock.Now()
		}
		r.recordEnd(n)
		return err
	}
	n.current.ReadyAt = r.clock.Now()
	n.setInRotation(true)
	return nil
}

// recordEnd records the end of a process.
func (r *runner) recordEnd(n *gatewayNode) {
	n.current.Err, n.current.EndedAt, n.current.Log = n.process.Close(), r.clock.Now(), n.process.Log()
	n.process = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes = append(r.processes, n.current)
}

func (n *gatewayNode) setInRotation(inRotation bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inRotation = inRotation
}

// playStops plays the stops of one gateway.
func (r *runner) playStops(ctx context.Context, n *gatewayNode) {
	for _, s := range r.plan.Stops {
		if s.Gateway != n.number {
			continue
		}
		if !ctxtime.Sleep(ctx, time.Until(r.clock.At(s.At-time.Second))) {
			return
		}
		r.stopProcess(n, s)
		if !ctxtime.Sleep(ctx, s.RestartDelay) {
			return
		}
		if err := r.startProcess(ctx, n); err != nil && ctx.Err() == nil {
			r.options.Log.Error("a gateway does not start", "gateway", n.number, "error", err)
		}
		if n.process == nil {
			return
		}
	}
}

// stopProcess ends a process as a planned restart does, with more signals beside.
func (r *runner) stopProcess(n *gatewayNode, s Stop) {
	type moment struct {
		at     time.Duration
		signal syscall.Signal
	}
	if s.KillOnly {
		r.killProcess(n, s)
		return
	}
	moments := []moment{{s.At, syscall.SIGTERM}}
	for _, extra := range s.Signals {
		moments = append(moments, moment{s.At + extra.Offset, extra.Signal})
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return int(a.at - b.at) })
	frontTimer := time.AfterFunc(time.Until(r.clock.At(s.At+s.FrontDelay)), func() { n.setInRotation(false) })
	defer frontTimer.Stop()
	kill := s.At + KillAfter(r.plan.Classes)
	for _, m := range moments {
		if m.at < kill && !r.waitUntil(n, m.at) {
			break
		}
		if m.at >= kill {
			continue
		}
		if m.signal == syscall.SIGTERM && n.current.SigtermAt == 0 {
			n.current.SigtermAt = r.clock.Now()
			kill = n.current.SigtermAt + KillAfter(r.plan.Classes)
		}
		n.current.signals = append(n.current.signals, signalRecord{At: r.clock.Now(), Name: m.signal.String()})
		n.process.Signal(m.signal)
	}
	if r.waitUntil(n, kill) {
		n.current.SigkillAt = r.clock.Now()
		n.process.Signal(syscall.SIGKILL)
	}
	n.setInRotation(false)
	r.recordEnd(n)
}

// killProcess ends a process with no warning; the front notices only later.
func (r *runner) killProcess(n *gatewayNode, s Stop) {
	r.waitUntil(n, s.At)
	n.mu.Lock()
	n.lastKilledUnwarned = n.processNumber
	n.mu.Unlock()
	n.current.killedUnwarned, n.current.SigkillAt = true, r.clock.Now()
	n.process.Signal(syscall.SIGKILL)
	time.Sleep(s.FrontDelay)
	n.setInRotation(false)
	r.recordEnd(n)
}

// playDrains plays the changes of the list.
func (r *runner) playDrains(ctx context.Context) {
	for _, d := range r.plan.Drains {
		for _, step := range []struct {
			at        time.Duration
			lifecycle string
		}{{d.DrainAt, "Terminating"}, {d.GoneAt, "Gone"}, {d.ReadyAt, "Ready"}} {
			if !ctxtime.Sleep(ctx, time.Until(r.clock.At(step.at))) {
				return
			}
			entry := r.backendList[d.Backend]
			entry.Lifecycle = step.lifecycle
			r.discovery.ApplyDelta([]gateway.EndpointEntry{entry})
			r.mu.Lock()
			r.listChanges = append(r.listChanges, ListChange{Backend: entry.ID, At: r.clock.Now(), Ready: step.lifecycle == "Ready"})
			r.mu.Unlock()
		}
	}
}

// playOutages plays the silences of discovery.
func (r *runner) playOutages(ctx context.Context) {
	for _, o := range r.plan.Outages {
		if !ctxtime.Sleep(ctx, time.Until(r.clock.At(o.From))) {
			return
		}
		r.discoveryProxy.SetBlackhole(true)
		ctxtime.Sleep(ctx, time.Until(r.clock.At(o.To)))
		r.discoveryProxy.SetBlackhole(false)
	}
}

// waitUntil waits for a moment. It returns false if the process ends first.
func (r *runner) waitUntil(n *gatewayNode, at time.Duration) bool {
	select {
	case <-n.process.Done():
		return false
	case <-time.After(time.Until(r.clock.At(at))):
		return true
	}
}

// stopAll stops what still runs, at the end.
func (r *runner) stopAll() {
	var stopping sync.WaitGroup
	for _, n := range r.gateways {
		if n.process != nil {
			stopping.Go(func() { r.stopProcess(n, Stop{At: r.clock.Now()}) })
		}
	}
	stopping.Wait()
}
