package experiment

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/backend"
	"amberlb/internal/lab/counter"
	"amberlb/internal/lab/discovery"
)

const (
	backendListeners = 4
	churnInterval    = 100 * time.Millisecond // changes of the list come in batches
)

var (
	zones = []string{"zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6", "zone-7", "zone-8"}
	kinds = []string{"standard"}
)

// standins are the services that one phase of a run talks to, of its own, so that
// all traffic on them is this phase's.
type standins struct {
	discoveryServer                  *discovery.Server
	counter                          *counter.Counter // nil: none
	backends                         *backend.Pool
	discoveryAddress, counterAddress string // addresses; no counter: ""
	listedBackends, spareBackends    []gateway.EndpointEntry
}

// startStandins starts them; they serve until ctx ends or close.
func startStandins(ctx context.Context, e *Experiment) (*standins, error) {
	s := &standins{backends: backend.New(backend.Options{ServiceTime: millis(e.Backends.ServiceTimeMS), Listeners: backendListeners})}
	if err := s.backends.Start(ctx); err != nil {
		return nil, err
	}
	all := s.backends.Instances(e.Backends.Count+e.spareBackends(), zones, kinds)
	s.listedBackends, s.spareBackends = all[:e.Backends.Count:e.Backends.Count], all[e.Backends.Count:]
	s.discoveryServer = discovery.New(slices.Clone(s.listedBackends), discovery.Options{FullListsPerSecond: e.Discovery.FullListsPerSecond})
	var err error
	if s.discoveryAddress, err = s.discoveryServer.Start(ctx); err != nil {
		s.close()
		return nil, err
	}
	if e.Counter.Shards > 0 {
		s.counter = counter.New(counter.Options{Shards: e.Counter.Shards, ServiceTime: millis(e.Counter.ServiceTimeMS), MaxQueued: e.Counter.MaxQueued})
		if s.counterAddress, err = s.counter.Start(ctx); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// spareBackends is how many backends churn may need in a phase beside those that are listed.
func (e *Experiment) spareBackends() int {
	return int(e.Churn.ReplacementsPerSecond * e.phaseTimeout().Seconds())
}

func (s *standins) close() {
	s.discoveryServer.Close()
	if s.counter != nil {
		s.counter.Close()
	}
	s.backends.Close()
}

// sample is what the stand-ins have counted at one time.
type sample struct {
	at        time.Time
	discovery discovery.Stats
	counter   counter.Stats // zero without one
	backends  backend.Stats
}

func (s *standins) sample() sample {
	now := sample{at: time.Now(), discovery: s.discoveryServer.Stats(), backends: s.backends.Stats()}
	if s.counter != nil {
		now.counter = s.counter.Stats()
	}
	return now
}

// controlTraffic is what the control connections had on the wire since an earlier
// sample, in bytes a second of each of n gateways.
func (now *sample) controlTraffic(since *sample, n int) (discovery, counter float64) {
	per := now.at.Sub(since.at).Seconds() * float64(n)
	return float64(now.discovery.Traffic.Bytes()-since.discovery.Traffic.Bytes()) / per,
		float64(now.counter.Traffic.Bytes()-since.counter.Traffic.Bytes()) / per
}

// listBytes asks for the whole list, as a gateway does at its start, and returns its size.
func (s *standins) listBytes(ctx context.Context) (int64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.discoveryAddress+"/registry/instances", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return io.Copy(io.Discard, resp.Body)
}

// startChurn has backends replaced until the function that it returns is called.
func (s *standins) startChurn(ctx context.Context, perSecond float64) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var churning sync.WaitGroup
	churning.Go(func() { s.replaceBackends(ctx, perSecond) })
	return func() { cancel(); churning.Wait() }
}

// replaceBackends replaces so many backends a second until ctx ends, for as long as a phase
// may last:
// the oldest is Terminating first and Gone after the grace of drains, and a new
// one, just started, stands in its place.
func (s *standins) replaceBackends(ctx context.Context, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	type drain struct {
		at   time.Time
		gone gateway.EndpointEntry
	}
	var draining []drain
	ticker := time.NewTicker(churnInterval)
	defer ticker.Stop()
	start, replaced := time.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			var delta []gateway.EndpointEntry
			for len(draining) > 0 && now.Sub(draining[0].at) >= drainGrace {
				delta = append(delta, draining[0].gone)
				draining = draining[1:]
			}
			for ; replaced < int(now.Sub(start).Seconds()*perSecond) && len(s.spareBackends) > 0; replaced++ {
				old, next := s.listedBackends[0], s.spareBackends[0]
				next.StartedAtMs = now.UnixMilli()
				s.listedBackends, s.spareBackends = append(s.listedBackends[1:], next), s.spareBackends[1:]
				old.Lifecycle = "Terminating"
				delta = append(delta, old, next)
				old.Lifecycle = "Gone"
				draining = append(draining, drain{now, old})
			}
			if len(delta) > 0 {
				s.discoveryServer.ApplyDelta(delta)
			}
		}
	}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
