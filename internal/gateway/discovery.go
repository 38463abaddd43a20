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
	watchShare      = 0.5                     // of the time that sends to a draining backend may go on: a watch stands open so long
	answerShare     = 0.25                    // of that time: what an answer may take beside
	leastAnswer     = 200 * time.Millisecond  // the shortest time for one
	mostWatchAnswer = 1400 * time.Millisecond // and the longest: what a silent watch missed comes with the next in under 6 s
	mostListWait    = 4500 * time.Millisecond // for a whole list, where nothing is sent by an older one
	watchRetry      = 100 * time.Millisecond  // pause after a failed call: a watch lapses after 200 ms
	mostListing     = 4 << 20                 // bytes of one answer
	listPath        = "/registry/instances"
	complaintGap    = 10 * time.Second // between lines about a discovery that stays down
)

// Listing is discovery's list of backends, or the changes to it.
type Listing struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // all there are, not changes alone
	Instances  []Instance `json:"instances"`
}

// Instance is one backend in discovery's form.
type Instance struct {
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

// backend translates an entry. The module's clock is Unix time (see clock), so
// a start needs its unit changed only.
func (i Instance) backend(d *wire.Deployment) (policy.Backend, error) {
	state, known := lifecycles[i.Lifecycle]
	zone := slices.Index(d.Zones, i.Zone)
	switch {
	case i.ID == "" || !known:
		return policy.Backend{}, fmt.Errorf("instance %q: lifecycle %q is not known", i.ID, i.Lifecycle)
	case zone < 0 && state != policy.Removed:
		// Two unknown zones must not pass for one that drops repeats.
		return policy.Backend{}, fmt.Errorf("instance %q: zone %q is not known", i.ID, i.Zone)
	case math.IsNaN(i.Weight) || i.StartedAtMs < 0:
		return policy.Backend{}, fmt.Errorf("instance %q: impossible weight or start", i.ID)
	}
	return policy.Backend{ID: backendID(i.ID), Zone: zone, Kind: slices.Index(d.Kinds, i.MachineType), Cell: i.Cell,
		State: state, Weight: i.Weight, StartedAt: float64(i.StartedAtMs) / 1000}, nil
}

// watcher follows discovery and hands on each answer.
type watcher struct {
	address      string
	wait, answer time.Duration // how long a watch stands open, and what an answer may take beside
	client       *http.Client
	since        int64
	listed       bool // a whole list has come
	inUse        bool // requests are sent by a list, be it an older one
	late         int  // calls for the whole list, in a row, that ended before it had come
	heard        func(Listing)
	log          *slog.Logger
}

// newWatcher makes a watch for a gateway that may go on sending to a draining
// backend for so long. A watch that has fallen silent, or that discovery
// forgot while it was down, misses drains that count as told. So each call is
// over, and the next on its way, well within that time. inUse tells that requests
// are sent by an older list meanwhile.
func newWatcher(address string, drainGrace time.Duration, inUse bool, heard func(Listing)) *watcher {
	w := &watcher{address: address, inUse: inUse, heard: heard, log: slog.Default(),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 2}}}
	w.answer = min(max(time.Duration(answerShare*float64(drainGrace)), leastAnswer), mostWatchAnswer)
	w.wait = time.Duration(watchShare / answerShare * float64(w.answer))
	return w
}

// run asks until ctx ends: once for the list, from then on for changes. A
// failed call is made again soon, on a new connection, from the last version
// that arrived; what changed meanwhile comes with its answer.
func (w *watcher) run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	var complained time.Time
	for ctx.Err() == nil {
		l, err := w.ask(ctx)
		if err == nil {
			w.since, w.listed, w.inUse, w.late = l.Generation, true, true, 0
			w.heard(l)
			continue
		}
		if !w.listed && errors.Is(err, context.DeadlineExceeded) {
			w.late++
		}
		if ctx.Err() == nil && time.Since(complained) > complaintGap {
			complained = time.Now()
			w.log.Warn("discovery can't be asked", "address", w.address, "error", err)
		}
		w.client.CloseIdleConnections()
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

// listLimit is the time for the whole list. Each call that was too short makes the
// next one longer: a list that is always cut off would never be had. While
// requests are sent by an older list, no call may outlast a watch.
func (w *watcher) listLimit() time.Duration {
	most := w.wait + w.answer
	if !w.inUse {
		most = max(most, mostListWait)
	}
	limit := w.answer
	for n := 0; n < w.late && limit < most; n++ {
		limit *= 2
	}
	return min(limit, most)
}

func (w *watcher) ask(ctx context.Context) (l Listing, err error) {
	url, limit := "http://"+w.address+listPath, w.listLimit()
	if w.listed {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", w.since, w.wait.Milliseconds())
		limit = w.wait + w.answer
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostListing))
	if err != nil {
		return l, err
	}
	if resp.StatusCode != http.StatusOK {
		w.listed = false // the version may be the trouble: start from the whole list
		return l, fmt.Errorf("status %s", resp.Status)
	}
	if err := json.Unmarshal(body, &l); err != nil {
		w.listed = false
		return l, fmt.Errorf("list: %w", err)
	}
	if !w.listed {
		l.Reset = true // a call without a version is answered with all there are
	}
	if l.Reset && l.Instances == nil {
		w.listed = false
		return l, errors.New("list: no instances in it") // Taken for an empty one, it would end all service
	}
	return l, nil
}
