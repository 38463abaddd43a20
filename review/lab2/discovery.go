package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is an entry of discovery's list.
type entry struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// list is an answer of discovery.
type list struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

// discovery is a stand-in of discovery. Each change makes a generation.
type discovery struct {
	address  string
	listener net.Listener
	server   *http.Server
	lab      *lab

	mu      sync.Mutex
	entries []entry           // the whole list
	changed []int64           // generation of the last change, by entry
	gone    map[string]change // entries that were removed
	number  int64
	news    chan struct{} // closed at the next change
	delay   time.Duration // time from the moment at which an answer is due until it is written
	silent  bool          // no answer is written
}

// change is a removed entry with the generation of its removal.
type change struct {
	entry      entry
	generation int64
}

func startDiscovery(l *lab, entries []entry) (*discovery, error) {
	d := &discovery{
		lab: l, entries: entries, changed: make([]int64, len(entries)), gone: map[string]change{}, number: 41,
		news: make(chan struct{}),
	}
	return d, d.listen()
}

// listen makes discovery listen at a new address.
func (d *discovery) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.address, d.listener = listener.Addr().String(), listener
	d.server = &http.Server{Handler: http.HandlerFunc(d.handle)}
	go d.server.Serve(listener)
	return nil
}

// move makes discovery listen at a new address. The old one takes no new connection and closes the open ones after 1.5 s.
func (d *discovery) move() error {
	oldListener, oldServer := d.listener, d.server
	if err := d.listen(); err != nil {
		return err
	}
	oldListener.Close()
	time.AfterFunc(1500*time.Millisecond, func() { oldServer.Close() })
	d.lab.note("discovery moves to %s", d.address)
	return nil
}

// handle answers a call for the list or a watch.
func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	millis, _ := strconv.ParseInt(r.URL.Query().Get("timeout_ms"), 10, 64)
	d.mu.Lock()
	news, waits, delay, silent := d.news, since == d.number && millis > 0, d.delay, d.silent
	d.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if waits {
		select {
		case <-news:
		case <-time.After(time.Duration(min(millis, 60000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		d.lab.note("discovery: a call since=%d was given up before its answer", since)
		return
	}
	answer := d.since(since)
	text, err := json.Marshal(answer)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text)
}

// since returns the whole list, or the changes since a generation.
func (d *discovery) since(generation int64) list {
	d.mu.Lock()
	defer d.mu.Unlock()
	answer := list{Generation: d.number, Reset: generation < 41 || generation > d.number, Instances: []entry{}}
	for i, e := range d.entries {
		if answer.Reset || d.changed[i] > generation {
			answer.Instances = append(answer.Instances, e)
		}
	}
	if !answer.Reset {
		for _, c := range d.gone {
			if c.generation > generation {
				answer.Instances = append(answer.Instances, c.entry)
			}
		}
	}
	return answer
}

// set replaces or adds an entry. An entry that is gone leaves the list.
func (d *discovery) set(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number++
	at := -1
	for i := range d.entries {
		if d.entries[i].ID == e.ID {
			at = i
		}
	}
	switch {
	case e.Lifecycle == "Gone" && at >= 0:
		d.entries = append(d.entries[:at:at], d.entries[at+1:]...)
		d.changed = append(d.changed[:at:at], d.changed[at+1:]...)
		d.gone[e.ID] = change{e, d.number}
	case at >= 0:
		d.entries[at], d.changed[at] = e, d.number
	default:
		d.entries, d.changed = append(d.entries, e), append(d.changed, d.number)
		delete(d.gone, e.ID)
	}
	close(d.news)
	d.news = make(chan struct{})
	d.lab.note("discovery: generation %d, %s is %s", d.number, e.ID, e.Lifecycle)
}

// setDelay sets the time that answers take from now on.
func (d *discovery) setDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
	d.lab.note("discovery: each answer takes %v from now on", delay)
}
