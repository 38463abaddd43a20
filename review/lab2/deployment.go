package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// deployment is a small deployment: its gateways, backends, discovery and counter.
type deployment struct {
	lab       *lab
	gateways  []*gateway
	clients   []*clients // by gateway
	backends  []*backend
	entries   []entry
	discovery *discovery
	counter   *counter
	options   []gatewayOptions
	rng       *rand.Rand

	mu       sync.Mutex
	outcomes []*outcome
}

// deploymentOptions are the parts of a deployment that differ between cases.
type deploymentOptions struct {
	gateways int
	backends int
	serve    func(x *exchange) bool
	settings func(rank int) map[string]any // nil: settings
	memoryMB int                           // 0: 192
}

// startDeployment starts a deployment, the gateways last.
func startDeployment(l *lab, o deploymentOptions) (*deployment, error) {
	d := &deployment{lab: l, rng: rand.New(rand.NewPCG(7, 11))}
	for n := range o.backends {
		b, err := startBackend(fmt.Sprintf("b%02d", n), o.serve)
		if err != nil {
			return nil, err
		}
		e := newEntry(b, n)
		d.backends = append(d.backends, b)
		d.entries = append(d.entries, e)
	}
	var err error
	if d.discovery, err = startDiscovery(l, append([]entry(nil), d.entries...)); err != nil {
		return nil, err
	}
	if d.counter, err = startCounter(); err != nil {
		return nil, err
	}
	if o.settings == nil {
		o.settings = settings
	}
	if o.memoryMB == 0 {
		o.memoryMB = 192
	}
	for n := range o.gateways {
		options := gatewayOptions{
			name: fmt.Sprintf("n%d", n), discovery: d.discovery.address, counter: d.counter.address, memoryMB: o.memoryMB,
			sockets: 1024, settings: o.settings(n), seed: rand.Uint64(), known: list{Generation: 41, Reset: true, Instances: d.entries},
		}
		g, err := l.startGateway(options)
		if err != nil {
			return nil, err
		}
		d.options = append(d.options, options)
		d.gateways = append(d.gateways, g)
		d.clients = append(d.clients, &clients{address: g.address})
	}
	return d, nil
}

// newRequest returns a request of a customer that stays well under its quota.
func (d *deployment) newRequest() *request {
	r := &request{id: newID(), class: invoiceCheck, plan: "starter", customer: 1000 + d.rng.Uint64N(2000), units: 1, spread: fleetSize}
	if d.rng.Float64() < 0.41 {
		r.class, r.units = advanceDraw, 2
		r.body = []byte(`{"invoice":"` + r.id + `"}`)
	}
	r.timeLeft = r.class.deadline * 3 / 4 // a try is given up after 50 to 100% of the deadline
	return r
}

// offer sends requests to the gateways in turn for a time, at the given mean rate over all of them, and then waits for all
// answers. Arrivals are drawn ahead and do not wait for answers.
func (d *deployment) offer(perSecond float64, duration time.Duration) {
	d.offerWhile(perSecond, duration, func(time.Duration) {})
}

// offerWhile offers requests as offer does, and calls each with the time since the beginning before each request.
func (d *deployment) offerWhile(perSecond float64, duration time.Duration, each func(since time.Duration)) {
	var open sync.WaitGroup
	begin := time.Now()
	for at := time.Duration(0); at < duration; {
		time.Sleep(time.Until(begin.Add(at)))
		each(at)
		r := d.newRequest()
		gateway := d.rng.IntN(len(d.clients))
		open.Go(func() { d.keep(d.clients[gateway].do(r)) })
		at += time.Duration(d.rng.ExpFloat64() / perSecond * float64(time.Second))
	}
	open.Wait()
}

// keep keeps an outcome, and writes it to the record.
func (d *deployment) keep(o *outcome) {
	d.lab.noteAt(o.sentAt, "client: %s %s: %v", o.request.id, o.request.class.name, o)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes = append(d.outcomes, o)
}

// noteRuns writes to the record what the backends have run.
func (d *deployment) noteRuns() {
	for _, b := range d.backends {
		for _, x := range b.requests() {
			d.lab.noteAt(x.firstByte, "%s: %s %s, %v left, ran: %v", b.name, x.id, x.path, x.timeLeft, x.ran)
		}
	}
}

// countStatus returns how many requests got each status.
func (d *deployment) countStatus() map[int]int {
	counts := map[int]int{}
	for _, o := range d.outcomes {
		counts[o.status]++
	}
	return counts
}

// lognormalWork returns a work time with some variation.
func lognormalWork(mean time.Duration) func(x *exchange) time.Duration {
	return func(*exchange) time.Duration { return time.Duration(float64(mean) * (0.5 + rand.Float64())) }
}
