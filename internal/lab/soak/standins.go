package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/discovery"
)

const (
	minServiceTime = 2 * time.Millisecond // of a backend
	maxServiceTime = 40 * time.Millisecond
	hangLead       = 200 * time.Millisecond // from when backends begin to hang to the SIGTERM
)

// standins are the services that the gateways of a run talk to. Each is reached through a proxy. The zero value has
// none.
type standins struct {
	backends       []*Backend
	backendProxies []*Proxy                // in front of the backends, by number
	entries        []gateway.EndpointEntry // of the backends in the list, by number
	discovery      *discovery.Server
	discoveryProxy *Proxy
}

// start starts the stand-ins. What was started before an error is ended by close.
func (s *standins) start(ctx context.Context, plan Plan, clock Clock) error {
	for number := range plan.Backends {
		if err := s.startBackend(number, plan, clock); err != nil {
			return err
		}
	}
	s.discovery = discovery.New(slices.Clone(s.entries), discovery.Options{})
	// The end of the run doesn't end discovery: the gateways still need it while they stop.
	address, err := s.discovery.Start(context.WithoutCancel(ctx))
	if err != nil {
		return err
	}
	s.discoveryProxy, err = StartProxy(address, NetworkFaults{}, plan.Seed)
	return err
}

// startBackend starts a backend and its proxy, and adds it to the entries.
func (s *standins) startBackend(number int, plan Plan, clock Clock) error {
	b, err := StartBackend(fmt.Sprintf("b-%d", number), clock, newBehavior(plan, number))
	if err != nil {
		return err
	}
	s.backends = append(s.backends, b)
	proxy, err := StartProxy(b.Address(), plan.BackendFaults, plan.Seed+uint64(number))
	if err != nil {
		return err
	}
	s.backendProxies = append(s.backendProxies, proxy)
	s.entries = append(s.entries, gateway.EndpointEntry{
		ID:          b.Name,
		HostPort:    proxy.Address(),
		Zone:        "a",
		MachineType: "m",
		Lifecycle:   "Ready",
		Weight:      1,
	})
	return nil
}

// newBehavior returns the behavior of the backend with a number. Some backends hang from just before a SIGTERM to the
// SIGKILL after it.
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

// backendAttempts returns what all backends have seen so far.
func (s *standins) backendAttempts() []BackendAttempt {
	var attempts []BackendAttempt
	for _, b := range s.backends {
		attempts = append(attempts, b.Attempts()...)
	}
	return attempts
}

// close ends what was started.
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
