package experiment

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/backend"
	"amberlb/internal/lab/counter"
	"amberlb/internal/lab/discovery"
)

// backendListeners is the number of ports that the backends share.
const backendListeners = 4

// Zones and machine types, which are assigned to the backends in turn.
var (
	zones        = []string{"zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6", "zone-7", "zone-8"}
	machineTypes = []string{"standard"}
)

// standins are the services that the gateways of one phase talk to. Each phase has its own stand-ins, so that they count
// the traffic of that phase only.
type standins struct {
	discovery        *discovery.Server
	discoveryAddress string
	counter          *counter.Counter // nil without a counter
	counterAddress   string           // "" without a counter
	backends         *backend.Pool

	// While the goroutine of startChurn runs, only that goroutine uses the two fields below.
	listedBackends []gateway.EndpointEntry // ready backends in the endpoint list, the oldest first
	spareBackends  []gateway.EndpointEntry // backends that churn may add to the endpoint list
}

// startStandins starts the stand-ins. They serve until ctx ends or close is called.
func startStandins(ctx context.Context, e *Experiment) (*standins, error) {
	s := &standins{backends: backend.New(backend.Options{
		ServiceTime: millis(e.Backends.ServiceTimeMS),
		Listeners:   backendListeners,
	})}
	if err := s.backends.Start(ctx); err != nil {
		return nil, err
	}
	instances := s.backends.Instances(e.Backends.Count+e.spareBackends(), zones, machineTypes)
	s.listedBackends = slices.Clip(instances[:e.Backends.Count])
	s.spareBackends = instances[e.Backends.Count:]
	if err := s.startDiscovery(ctx, e); err != nil {
		s.close()
		return nil, err
	}
	if err := s.startCounter(ctx, e); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *standins) startDiscovery(ctx context.Context, e *Experiment) (err error) {
	options := discovery.Options{FullListsPerSecond: e.Discovery.FullListsPerSecond}
	s.discovery = discovery.New(slices.Clone(s.listedBackends), options)
	s.discoveryAddress, err = s.discovery.Start(ctx)
	return err
}

// startCounter starts the counter, if the experiment has one.
func (s *standins) startCounter(ctx context.Context, e *Experiment) (err error) {
	if e.Counter.Shards == 0 {
		return nil
	}
	s.counter = counter.New(counter.Options{
		Shards:      e.Counter.Shards,
		ServiceTime: millis(e.Counter.ServiceTimeMS),
		MaxQueued:   e.Counter.MaxQueued,
	})
	s.counterAddress, err = s.counter.Start(ctx)
	return err
}

func (s *standins) close() {
	s.discovery.Close()
	if s.counter != nil {
		s.counter.Close()
	}
	s.backends.Close()
}

// sample holds the statistics of the stand-ins at one time.
type sample struct {
	at        time.Time
	discovery discovery.Stats
	counter   counter.Stats // zero without a counter
	backends  backend.Stats
}

func (s *standins) sample() sample {
	now := sample{at: time.Now(), discovery: s.discovery.Stats(), backends: s.backends.Stats()}
	if s.counter != nil {
		now.counter = s.counter.Stats()
	}
	return now
}

// controlTraffic returns the mean traffic of one gateway's connections to discovery and to the counter since an earlier
// sample, in bytes on the wire per second. The parameter gateways is the number of gateways that caused the traffic.
func (s *sample) controlTraffic(since *sample, gateways int) (discovery, counter float64) {
	gatewaySeconds := s.at.Sub(since.at).Seconds() * float64(gateways)
	discovery = float64(s.discovery.Traffic.Bytes()-since.discovery.Traffic.Bytes()) / gatewaySeconds
	counter = float64(s.counter.Traffic.Bytes()-since.counter.Traffic.Bytes()) / gatewaySeconds
	return discovery, counter
}

// listBytes requests the full endpoint list, as a gateway does at its start, and returns the size of the response body.
func (s *standins) listBytes(ctx context.Context) (int64, error) {
	url := "http://" + s.discoveryAddress + "/registry/instances"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return io.Copy(io.Discard, response.Body)
}

// millis converts milliseconds to a duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
