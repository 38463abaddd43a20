// Package registry stands in for discovery: the list of backends, whole or as
// what changed, with watches that wait for a change.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/tally"
)

const (
	listPath    = "/registry/instances"
	mostWait    = 60 * time.Second
	mostChanges = 1024 // kept; a caller with an older version gets the whole list
	gone        = "Gone"
)

// Options say how the registry paces itself.
type Options struct {
	WholePerSecond float64 // whole lists it hands out a second over all callers, the rest wait in turn; 0: no bound
}

// Stats is what the registry has done since its start.
type Stats struct {
	Calls, Whole, Deltas uint64 // calls, and answers to them: whole lists and lists of changes, empty ones too
	Entries              uint64 // instances in these answers
	Wire                 tally.Traffic
}

// Registry is the stand-in. Its methods may be called from many goroutines.
type Registry struct {
	pace *pace

	mu         sync.Mutex
	generation int64
	instances  []gateway.Instance
	at         map[string]int // in instances, by id
	changes    []change       // the last ones, each a generation
	changed    chan struct{}  // closed at the next change
	whole      *answer        // of this generation; nil until asked for
	deltas     map[int64]*answer

	calls, wholes, deltaAnswers, entries atomic.Uint64

	listener *tally.Listener
	server   *http.Server
	serving  sync.WaitGroup
}

// change is what one call of Change told.
type change struct {
	generation int64
	entries    []gateway.Instance
}

// answer is a list that is encoded once and handed to many.
type answer struct {
	body    []byte
	entries int
	whole   bool
}

// New makes a registry of version 1 with these instances.
func New(instances []gateway.Instance, o Options) *Registry {
	r := &Registry{generation: 1, at: make(map[string]int), changed: make(chan struct{}), deltas: make(map[int64]*answer)}
	r.apply(instances)
	if o.WholePerSecond > 0 {
		r.pace = newPace(o.WholePerSecond)
	}
	return r
}

// Start listens on a port of loopback that the system chooses, and serves until
// ctx ends or Close.
func (r *Registry) Start(ctx context.Context) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.listener = tally.Listen(l)
	ctx, cancel := context.WithCancel(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listPath, r.list)
	r.server = &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return ctx }}
	context.AfterFunc(ctx, func() { r.listener.Shut() })
	if r.pace != nil {
		r.serving.Go(func() { r.pace.run(ctx) })
	}
	r.serving.Go(func() {
		defer cancel()
		r.server.Serve(r.listener)
	})
	return l.Addr().String(), nil
}

// Close resets all connections and waits for their goroutines.
func (r *Registry) Close() error {
	if r.listener == nil {
		return nil
	}
	err := r.listener.Shut()
	r.serving.Wait()
	return errors.Join(err, r.server.Shutdown(context.Background()))
}

// Change applies a delta, in which a Gone instance leaves the list, and wakes the
// watches. It returns the new version.
func (r *Registry) Change(entries []gateway.Instance) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation++
	r.apply(entries)
	r.changes = append(r.changes, change{r.generation, entries})
	if over := len(r.changes) - mostChanges; over > 0 {
		r.changes = r.changes[over:]
	}
	r.whole = nil
	clear(r.deltas)
	close(r.changed)
	r.changed = make(chan struct{})
	return r.generation
}

// Stats returns the counts so far. It needs a Start before.
func (r *Registry) Stats() Stats {
	return Stats{Calls: r.calls.Load(), Whole: r.wholes.Load(), Deltas: r.deltaAnswers.Load(),
		Entries: r.entries.Load(), Wire: r.listener.Traffic()}
}

// apply puts entries into the list.
func (r *Registry) apply(entries []gateway.Instance) {
	for _, e := range entries {
		i, known := r.at[e.ID]
		switch {
		case e.Lifecycle != gone && known:
			r.instances[i] = e
		case e.Lifecycle != gone:
			r.at[e.ID] = len(r.instances)
			r.instances = append(r.instances, e)
		case known:
			last := len(r.instances) - 1
			r.instances[i] = r.instances[last]
			r.at[r.instances[i].ID] = i
			r.instances = r.instances[:last]
			delete(r.at, e.ID)
		}
	}
}

// list answers a call.
func (r *Registry) list(w http.ResponseWriter, req *http.Request) {
	r.calls.Add(1)
	query := req.URL.Query()
	since, err1 := number(query, "since")
	ms, err2 := number(query, "timeout_ms")
	if err := errors.Join(err1, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := time.Duration(min(ms, mostWait.Milliseconds())) * time.Millisecond
	a, ok := r.wait(req.Context(), since, wait)
	if !ok {
		return
	}
	if a.whole {
		r.wholes.Add(1)
	} else {
		r.deltaAnswers.Add(1)
	}
	r.entries.Add(uint64(a.entries))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.Write(a.body)
}

// number returns a whole number of a query, 0 if it isn't there.
func number(query url.Values, key string) (int64, error) {
	if !query.Has(key) {
		return 0, nil
	}
	n, err := strconv.ParseUint(query.Get(key), 10, 63)
	return int64(n), err
}

// wait returns the answer for a caller that has version since (0: none) once
// there is something newer or the time is over. ok is false if ctx ends first.
func (r *Registry) wait(ctx context.Context, since int64, timeout time.Duration) (a *answer, ok bool) {
	r.mu.Lock()
	if since == r.generation && timeout > 0 {
		changed := r.changed
		r.mu.Unlock()
		over := time.NewTimer(timeout)
		defer over.Stop()
		select {
		case <-changed:
		case <-over.C:
		case <-ctx.Done():
			return nil, false
		}
		r.mu.Lock()
	}
	if !r.kept(since) && r.pace != nil {
		r.mu.Unlock()
		if !r.pace.turn(ctx) {
			return nil, false
		}
		r.mu.Lock()
	}
	defer r.mu.Unlock()
	if r.kept(since) {
		return r.delta(since), true
	}
	return r.wholeList(), true
}

// kept tells whether all changes after a version are known.
func (r *Registry) kept(since int64) bool {
	return since > 0 && since <= r.generation && since >= r.generation-int64(len(r.changes))
}

func (r *Registry) wholeList() *answer {
	if r.whole == nil {
		r.whole = r.encode(r.instances, true)
	}
	return r.whole
}

// delta returns the last word on each instance that changed after a version.
func (r *Registry) delta(since int64) *answer {
	if a := r.deltas[since]; a != nil {
		return a
	}
	entries, at := []gateway.Instance{}, make(map[string]int)
	for _, c := range r.changes {
		if c.generation <= since {
			continue
		}
		for _, e := range c.entries {
			if i, known := at[e.ID]; known {
				entries[i] = e
				continue
			}
			at[e.ID] = len(entries)
			entries = append(entries, e)
		}
	}
	a := r.encode(entries, false)
	r.deltas[since] = a
	return a
}

func (r *Registry) encode(entries []gateway.Instance, whole bool) *answer {
	if entries == nil {
		entries = []gateway.Instance{} // null would be no list
	}
	body, err := json.Marshal(gateway.Listing{Generation: r.generation, Reset: whole, Instances: entries})
	if err != nil {
		panic(err) // an infinite weight, which the lab never makes
	}
	return &answer{body: body, entries: len(entries), whole: whole}
}
