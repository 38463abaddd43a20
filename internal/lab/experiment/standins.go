package experiment

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/counter"
	"amberlb/internal/lab/origin"
	"amberlb/internal/lab/registry"
)

const (
	originPorts = 4
	churnTick   = 100 * time.Millisecond // changes of the list come in batches
)

var (
	zones = []string{"zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6", "zone-7", "zone-8"}
	kinds = []string{"standard"}
)

// standins are the services that one phase of a run talks to, of its own, so that
// all traffic on them is this phase's.
type standins struct {
	registry           *registry.Registry
	counter            *counter.Counter // nil: none
	origin             *origin.Origin
	discovery, counted string // addresses; no counter: ""
	listed, spare      []gateway.Instance
}

// newStandins starts them; they serve until ctx ends or close.
func newStandins(ctx context.Context, e *Experiment) (*standins, error) {
	s := &standins{origin: origin.New(origin.Options{Service: millis(e.Backends.ServiceMS), Listeners: originPorts})}
	if err := s.origin.Start(ctx); err != nil {
		return nil, err
	}
	all := s.origin.Instances(e.Backends.Count+e.spare(), zones, kinds)
	s.listed, s.spare = all[:e.Backends.Count:e.Backends.Count], all[e.Backends.Count:]
	s.registry = registry.New(slices.Clone(s.listed), registry.Options{WholePerSecond: e.Discovery.WholePerSecond})
	var err error
	if s.discovery, err = s.registry.Start(ctx); err != nil {
		s.close()
		return nil, err
	}
	if e.Counter.Parts > 0 {
		s.counter = counter.New(counter.Options{Parts: e.Counter.Parts, Service: millis(e.Counter.ServiceMS), Waiting: e.Counter.Waiting})
		if s.counted, err = s.counter.Start(ctx); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// spare is how many backends churn may need in a phase beside those that are listed.
func (e *Experiment) spare() int { return int(e.Churn.PerSecond * e.longest().Seconds()) }

func (s *standins) close() {
	s.registry.Close()
	if s.counter != nil {
		s.counter.Close()
	}
	s.origin.Close()
}

// sample is what the stand-ins have counted at one time.
type sample struct {
	at       time.Time
	registry registry.Stats
	counter  counter.Stats // zero without one
	origin   origin.Stats
}

func (s *standins) sample() sample {
	now := sample{at: time.Now(), registry: s.registry.Stats(), origin: s.origin.Stats()}
	if s.counter != nil {
		now.counter = s.counter.Stats()
	}
	return now
}

// traffic is what the control connections had on the wire since an earlier
// sample, in bytes a second of each of n gateways.
func (now *sample) traffic(since *sample, n int) (discovery, counter float64) {
	per := now.at.Sub(since.at).Seconds() * float64(n)
	return float64(now.registry.Wire.Bytes()-since.registry.Wire.Bytes()) / per,
		float64(now.counter.Wire.Bytes()-since.counter.Wire.Bytes()) / per
}

// listBytes asks for the whole list, as a gateway does at its start, and returns its size.
func (s *standins) listBytes(ctx context.Context) (int64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.discovery+"/registry/instances", nil)
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
	churning.Go(func() { s.churn(ctx, perSecond) })
	return func() { cancel(); churning.Wait() }
}

// churn replaces so many backends a second until ctx ends, for as long as a phase
// may last:
// the oldest is Terminating first and Gone after the grace of drains, and a new
// one, just started, stands in its place.
func (s *standins) churn(ctx context.Context, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	type drain struct {
		at   time.Time
		gone gateway.Instance
	}
	var draining []drain
	ticker := time.NewTicker(churnTick)
	defer ticker.Stop()
	start, done := time.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			var delta []gateway.Instance
			for len(draining) > 0 && now.Sub(draining[0].at) >= drainGrace {
				delta = append(delta, draining[0].gone)
				draining = draining[1:]
			}
			for ; done < int(now.Sub(start).Seconds()*perSecond) && len(s.spare) > 0; done++ {
				old, next := s.listed[0], s.spare[0]
				next.StartedAtMs = now.UnixMilli()
				s.listed, s.spare = append(s.listed[1:], next), s.spare[1:]
				old.Lifecycle = "Terminating"
				delta = append(delta, old, next)
				old.Lifecycle = "Gone"
				draining = append(draining, drain{now, old})
			}
			if len(delta) > 0 {
				s.registry.Change(delta)
			}
		}
	}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
