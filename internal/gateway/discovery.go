package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"time"

	"amberlb/internal/wire"
	"amberlb/policy"
)

const (
	watchTimeShare       = 0.5                     // of the time that sends to a draining backend may go on: a watch stands open so long
	responseTimeShare    = 0.25                    // of that time: what an answer may take beside
	minResponseTime      = 200 * time.Millisecond  // the shortest time for one
	maxWatchResponseTime = 1400 * time.Millisecond // and the longest: what a silent watch missed comes with the next in under 6 s
	maxListTimeout       = 4500 * time.Millisecond // for a whole list, where nothing is sent by an older one
	watchRetryDelay      = 100 * time.Millisecond  // pause after a failed call: a watch lapses after 200 ms
	maxListBytes         = 4 << 20                 // bytes of one answer
	endpointsPath        = "/registry/instances"
	warnInterval         = 10 * time.Second // between lines about a discovery that stays down
)

// EndpointList is discovery's list of backends, or the changes to it.
type EndpointList struct {
	Generation int64           `json:"generation"`
	Reset      bool            `json:"reset"` // all there are, not changes alone
	Entries    []EndpointEntry `json:"instances"`
}

// EndpointEntry is one backend in discovery's form.
type EndpointEntry struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

var lifecycles = map[string]policy.BackendState{"Ready": policy.Ready, "Terminating": policy.Draining, "Gone": policy.Removed}

// backendID derives the module's id from the name alone, so that all gateways
// agree on it whatever order they hear of backends in.
func backendID(instance string) policy.BackendID {
	h := fnv.New32a()
	io.WriteString(h, instance)
	return policy.BackendID(h.Sum32())
}

// toBackend translates an entry. The module's clock is Unix time (see clock), so
// a start needs its unit changed only.
func (instance EndpointEntry) toBackend(deployment *wire.Deployment) (policy.Backend, error) {
	state, known := lifecycles[instance.Lifecycle]
	zone := slices.Index(deployment.Zones, instance.Zone)
	switch {
	case instance.ID == "" || !known:
		return policy.Backend{}, fmt.Errorf("instance %q: lifecycle %q is not known", instance.ID, instance.Lifecycle)
	case zone < 0 && state != policy.Removed:
		// Two unknown zones must not pass for one that drops repeats.
		return policy.Backend{}, fmt.Errorf("instance %q: zone %q is not known", instance.ID, instance.Zone)
	case math.IsNaN(instance.Weight) || instance.StartedAtMs < 0:
		return policy.Backend{}, fmt.Errorf("instance %q: impossible weight or start", instance.ID)
	}
	return policy.Backend{ID: backendID(instance.ID), Zone: zone, Kind: slices.Index(deployment.Kinds, instance.MachineType), Cell: instance.Cell,
		State: state, Weight: instance.Weight, StartedAt: float64(instance.StartedAtMs) / 1000}, nil
}

// discoveryWatcher follows discovery and hands on each answer.
type discoveryWatcher struct {
	address                    string
	watchTimeout, responseTime time.Duration // how long a watch stands open, and what an answer may take beside
	client                     *http.Client
	generation                 int64
	hasList                    bool // a whole list has come
	listInUse                  bool // requests are sent by a list, be it an older one
	listTimeouts               int  // calls for the whole list, in a row, that ended before it had come
	onList                     func(EndpointList)
	log                        *slog.Logger
}

// newDiscoveryWatcher makes a watch for a gateway that may go on sending to a draining
// backend for so long. A watch that has fallen silent, or that discovery
// forgot while it was down, misses drains that count as told. So each call is
// over, and the next on its way, well within that time. listInUse tells that requests
// are sent by an older list meanwhile.
func newDiscoveryWatcher(address string, drainGrace time.Duration, listInUse bool, onListing func(EndpointList)) *discoveryWatcher {
	w := &discoveryWatcher{address: address, listInUse: listInUse, onList: onListing, log: slog.Default(),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 2}}}
	w.responseTime = min(max(time.Duration(responseTimeShare*float64(drainGrace)), minResponseTime), maxWatchResponseTime)
	w.watchTimeout = time.Duration(watchTimeShare / responseTimeShare * float64(w.responseTime))
	return w
}

// run asks until ctx ends: once for the list, from then on for changes. A
// failed call is made again soon, on a new connection, from the last version
// that arrived; what changed meanwhile comes with its answer.
func (w *discoveryWatcher) run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	var warnedAt time.Time
	for ctx.Err() == nil {
		list, err := w.poll(ctx)
		if err == nil {
			w.generation, w.hasList, w.listInUse, w.listTimeouts = list.Generation, true, true, 0
			w.onList(list)
			continue
		}
		if !w.hasList && errors.Is(err, context.DeadlineExceeded) {
			w.listTimeouts++
		}
		if ctx.Err() == nil && time.Since(warnedAt) > warnInterval {
			warnedAt = time.Now()
			w.log.Warn("discovery can't be asked", "address", w.address, "error", err)
		}
		w.client.CloseIdleConnections()
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}

// listTimeout is the time for the whole list. Each call that was too short makes the
// next one longer: a list that is always cut off would never be had. While
// requests are sent by an older list, no call may outlast a watch.
func (w *discoveryWatcher) listTimeout() time.Duration {
	maxTimeout := w.watchTimeout + w.responseTime
	if !w.listInUse {
		maxTimeout = max(maxTimeout, maxListTimeout)
	}
	timeout := w.responseTime
	for n := 0; n < w.listTimeouts && timeout < maxTimeout; n++ {
		timeout *= 2
	}
	return min(timeout, maxTimeout)
}

func (w *discoveryWatcher) poll(ctx context.Context) (list EndpointList, err error) {
	url, timeout := "http://"+w.address+endpointsPath, w.listTimeout()
	if w.hasList {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", w.generation, w.watchTimeout.Milliseconds())
		timeout = w.watchTimeout + w.responseTime
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return list, err
	}
	if resp.StatusCode != http.StatusOK {
		w.hasList = false // the version may be the trouble: start from the whole list
		return list, fmt.Errorf("status %s", resp.Status)
	}
	if err := json.Unmarshal(body, &list); err != nil {
		w.hasList = false
		return list, fmt.Errorf("list: %w", err)
	}
	if !w.hasList {
		list.Reset = true // a call without a version is answered with all there are
	}
	if list.Reset && list.Entries == nil {
		w.hasList = false
		return list, errors.New("list: no instances in it") // Taken for an empty one, it would end all service
	}
	return list, nil
}
