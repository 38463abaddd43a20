package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is one backend of discovery's list (PROTOCOL, "Discovery").
type Entry struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// List is an answer of discovery.
type List struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Discovery is the agent of discovery on a gateway's machine. It answers a watch as soon as something newer than the
// watch's version exists, or at the end of the watch's wait.
type Discovery struct {
	Address string
	lab     *Lab

	mu      sync.Mutex
	list    map[string]Entry
	order   []string
	changes []List // one change a generation, from generation 2 on
	changed chan struct{}
}

// StartDiscovery starts discovery with a list of generation 1.
func (l *Lab) StartDiscovery(entries []Entry) (*Discovery, error) {
	listener, err := l.Listen()
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: listener.Addr().String(), lab: l, list: map[string]Entry{}, changed: make(chan struct{})}
	for _, entry := range entries {
		d.list[entry.ID] = entry
		d.order = append(d.order, entry.ID)
	}
	go http.Serve(listener, http.HandlerFunc(d.serve))
	return d, nil
}

// Change makes the next generation of the list.
func (d *Discovery) Change(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, entry := range entries {
		d.lab.Logf("discovery: %s is %s", entry.ID, entry.Lifecycle)
		if _, known := d.list[entry.ID]; !known {
			d.order = append(d.order, entry.ID)
		}
		d.list[entry.ID] = entry
	}
	d.changes = append(d.changes, List{Instances: entries})
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) generation() int64 { return int64(len(d.changes)) + 1 }

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	d.mu.Lock()
	if since == d.generation() && wait > 0 {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	answer := List{Generation: d.generation(), Reset: since < 1 || since > d.generation(), Instances: []Entry{}}
	if answer.Reset {
		for _, id := range d.order {
			if d.list[id].Lifecycle != "Gone" {
				answer.Instances = append(answer.Instances, d.list[id])
			}
		}
	} else {
		for _, change := range d.changes[since-1:] {
			answer.Instances = append(answer.Instances, change.Instances...)
		}
	}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}
