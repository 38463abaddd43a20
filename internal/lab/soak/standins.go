package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/discovery"
)

const (
	minServiceTime = 2 * time.Millisecond // shortest service time of a backend
	maxServiceTime = 40 * time.Millisecond
	hangLead       = 200 * time.Millisecond // time before Stop.At at which backends begin to hang
)

// standins are the stand-ins of a run: backends and discovery. Gateways reach discovery through a proxy, and the backends if
// the plan has network faults for them. The zero value has no running stand-ins.
type standins struct {
	backends       []*Backend
	backendProxies []*Proxy                // proxies in front of the backends
	entries        []gateway.EndpointEntry // entries of the backends in discovery's list, by number of the backend
	discovery      *discovery.Server
	discoveryProxy *Proxy
}

// start starts the stand-ins. After an error, the caller must call close to stop the stand-ins that were started.
func (s *standins) start(ctx context.Context, plan Plan, clock Clock) error {
	for number := range plan.Backends {
		if err := s.startBackend(number, plan, clock); err != nil {
			return err
		}
	}
	options := discovery.Options{ResponseTime: plan.SlowDiscovery.newResponseTime(clock)}
	s.discovery = discovery.New(slices.Clone(s.entries), options)
	// Discovery is started without ctx's cancellation, since gateways still need discovery while they are stopped at the
	// end of the run.
	address, err := s.discovery.Start(context.WithoutCancel(ctx))
	if err != nil {
		return err
	}
	s.discoveryProxy, err = StartProxy(address, NetworkFaults{}, plan.Seed)
	return err
}

// newResponseTime returns a function that gives the response time of the next response of discovery.
func (s SlowDiscovery) newResponseTime(clock Clock) func() time.Duration {
	if s.Interval == 0 {
		return nil
	}
	var responses atomic.Int64
	return func() time.Duration {
		if clock.Now() >= s.From && responses.Add(1)%int64(s.Interval) == 0 {
			return s.ResponseTime
		}
		return 0
	}
}

// startBackend starts a backend, and its proxy if there are network faults, and adds its entry to entries.
func (s *standins) startBackend(number int, plan Plan, clock Clock) error {
	b, err := StartBackend(fmt.Sprintf("b-%d", number), clock, newBehavior(plan, number))
	if err != nil {
		return err
	}
	s.backends = append(s.backends, b)
	address := b.Address()
	if plan.BackendFaults != (NetworkFaults{}) {
		proxy, err := StartProxy(address, plan.BackendFaults, plan.Seed+uint64(number))
		if err != nil {
			return err
		}
		s.backendProxies = append(s.backendProxies, proxy)
		address = proxy.Address()
	}
	s.entries = append(s.entries, gateway.EndpointEntry{
		ID:          b.Name,
		HostPort:    address,
		Zone:        "a",
		MachineType: "m",
		Lifecycle:   "Ready",
		Weight:      1,
	})
	return nil
}

// newBehavior returns a function that gives a backend's behavior at any given time on the run's clock. The parameter
// number is the number of the backend. During each stop, plan.HangingBackends backends hang. They hang from hangLead
// before Stop.At until KillAfter after Stop.At.
func newBehavior(plan Plan, number int) func(now time.Duration) Behavior {
	rng := rand.New(rand.NewPCG(plan.Seed, uint64(100+number)))
	killAfter := KillAfter(plan.Classes)
	var mu sync.Mutex
	return func(now time.Duration) Behavior {
		mu.Lock()
		defer mu.Unlock()
		for i, stop := range plan.Stops {
			hanging := (number+i)%plan.Backends < plan.HangingBackends
			if hanging && now > stop.At-hangLead && now < stop.At+killAfter {
				return Behavior{Hang: true}
			}
		}
		return Behavior{ServiceTime: randomDuration(rng, minServiceTime, maxServiceTime)}
	}
}

// backendAttempts returns the attempts that all backends have received so far.
func (s *standins) backendAttempts() []BackendAttempt {
	var attempts []BackendAttempt
	for _, b := range s.backends {
		attempts = append(attempts, b.Attempts()...)
	}
	return attempts
}

// close stops the stand-ins that were started.
func (s *standins) close() {
	for _, proxy := range s.backendProxies {
		proxy.Close()
	}
	for _, b := range s.backends {
		b.Close()
	}
	if s.discoveryProxy != nil {
		s.discoveryProxy.Close()
	}
	if s.discovery != nil {
		s.discovery.Close()
	}
}
