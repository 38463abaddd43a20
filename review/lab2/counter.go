package main

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// counter is a stand-in of the counter service.
type counter struct {
	address string

	mu     sync.Mutex
	totals map[string]*total
	calls  int
}

// total is a named number with the end of its life.
type total struct {
	value float64
	until time.Time
}

func startCounter() (*counter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &counter{address: listener.Addr().String(), totals: map[string]*total{}}
	server := &http.Server{Handler: http.HandlerFunc(c.handle)}
	go server.Serve(listener)
	return c, nil
}

// handle adds an amount and answers with the total.
func (c *counter) handle(w http.ResponseWriter, r *http.Request) {
	name, found := strings.CutPrefix(r.URL.Path, "/v1/count/")
	amount, err := strconv.ParseFloat(r.URL.Query().Get("add"), 64)
	life, lifeErr := strconv.ParseInt(r.URL.Query().Get("ttl_ms"), 10, 64)
	if !found || err != nil || lifeErr != nil || r.Method != http.MethodPost {
		http.Error(w, "no such call", http.StatusBadRequest)
		return
	}
	text := strconv.FormatFloat(c.add(name, amount, time.Duration(min(life, 60000))*time.Millisecond), 'g', 7, 64)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write([]byte(text))
}

// add adds an amount to a named number and returns the total.
func (c *counter) add(name string, amount float64, life time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	now := time.Now()
	t := c.totals[name]
	if t == nil || now.After(t.until) {
		t = &total{until: now.Add(life)}
		c.totals[name] = t
	}
	t.value += amount
	return t.value
}
