// Command lateanswer plays backends that send a second copy of some answers, some milliseconds late, and checks that
// every client gets the answer that a backend made for its own request.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amberlb/review/standin"
)

const (
	backends     = 9
	clients      = 96
	requestRate  = 280.0 // requests a second at the gateway; DAYS: up to 140, on one day up to four times as many
	duration     = 90 * time.Second
	minWork      = 4 * time.Millisecond
	maxWork      = 12 * time.Millisecond
	minOneWay    = 1400 * time.Microsecond // BRIEF: 1.4 to 2.6 ms one way between floors
	maxOneWay    = 2600 * time.Microsecond
	minLate      = 8 * time.Millisecond // STANDING: a second answer may come some milliseconds late
	maxLate      = 10 * time.Millisecond
	copyShare    = 0.3  // share of the other answers that come in two copies
	turnAway     = 0.12 // share of the requests that backends turn away with X-Unprocessed, all in two copies
	requestLimit = 2 * time.Second

	// maxGap is the longest time between an answer and its second copy at the gateway's end of the network. A foreign
	// answer counts only if its copy came within it.
	maxGap = maxLate + maxOneWay - minOneWay
)

func main() { standin.Main(115*time.Second, run) }

// backend answers a request after its work, and may send a second copy of the answer some milliseconds later, if no
// other request has arrived on the connection by then.
type backend struct {
	lab    *standin.Lab
	seen   *arrivals
	copies atomic.Int64
	held   atomic.Int64 // copies not sent, since another request waited on the connection or the time had passed
}

func (b *backend) handle(a *standin.Attempt) bool {
	answer, twoCopies := standin.Answer("answer to "+a.ID), rand.Float64() < copyShare
	if rand.Float64() < turnAway {
		b.lab.Logf("%s: turns %s away, it never runs", a.Backend.Name, a.ID)
		twoCopies = true
		answer = fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nX-Note: answer to %s\r\n"+
			"Content-Length: 0\r\n\r\n", a.ID)
	} else {
		b.seen.ran(a)
	}
	standin.SleepUntil(a.At.Add(minWork + rand.N(maxWork-minWork)))
	if _, err := a.Conn.Write(answer); err != nil {
		return false
	}
	if !b.lab.Trouble || !twoCopies {
		return true
	}
	answeredAt := time.Now()
	standin.SleepUntil(answeredAt.Add(minLate + rand.N(maxLate-minLate)))
	if a.Reader.Buffered() > 0 || standin.HasInput(a.Conn) || time.Since(answeredAt) > maxLate {
		b.held.Add(1) // something waits on the connection, or this process was held up
		return true   // a closed connection ends with the next read
	}
	if _, err := a.Conn.Write(answer); err != nil {
		return false
	}
	b.lab.Logf("%s: sent a second copy of the answer to %s after %v", a.Backend.Name, a.ID, time.Since(answeredAt))
	b.copies.Add(1)
	b.seen.copied(a)
	return true
}

// arrivals holds when the network has passed answers on to the gateway.
type arrivals struct {
	mu    sync.Mutex
	first map[string]time.Time
	gap   map[string]time.Duration // time from the answer to its second copy
	last  map[net.Conn]string      // the request whose answer came last on a backend's connection in two copies
	runs  map[string][]execution   // by request
}

// execution is one attempt that a backend has run.
type execution struct {
	backend string
	behind  string // the request on the same connection whose answer had a second copy just before; "" if none
}

// ran records that a backend has run a request.
func (a *arrivals) ran(attempt *standin.Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs[attempt.ID] = append(a.runs[attempt.ID], execution{attempt.Backend.Name, a.last[attempt.Conn]})
	delete(a.last, attempt.Conn)
}

// copied records that a second copy of the answer to a request was sent.
func (a *arrivals) copied(attempt *standin.Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last[attempt.Conn] = attempt.ID
}

// executions returns the attempts of a request that backends have run.
func (a *arrivals) executions(id string) []execution {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.runs[id])
}

var answerID = regexp.MustCompile(`answer to ([0-9a-f]{16})`)

func (a *arrivals) passedOn(bytes []byte, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, found := range answerID.FindAllSubmatch(bytes, -1) {
		id := string(found[1])
		if first, again := a.first[id]; again {
			a.gap[id] = at.Sub(first)
		} else {
			a.first[id] = at
		}
	}
}

func (a *arrivals) gapOf(id string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gap[id]
}

// result counts the answers of the clients.
type result struct {
	served, refused, failed, lost atomic.Int64
	foreign                       atomic.Int64 // 200 with a second copy that came within maxGap
	later                         atomic.Int64 // 200 with a copy that came later than maxGap
	shifted                       atomic.Int64 // 200 with another request's first answer, behind a copy that was taken for an answer
	twice                         atomic.Int64 // advance-draws that ran twice, behind a copy that came within maxGap
}

func run(lab *standin.Lab) (int, error) {
	seen := &arrivals{
		first: map[string]time.Time{}, gap: map[string]time.Duration{}, last: map[net.Conn]string{},
		runs: map[string][]execution{},
	}
	b := &backend{lab: lab, seen: seen}
	var entries []standin.Entry
	var proxies []*standin.Proxy
	for n := range backends {
		server, err := lab.StartBackend(fmt.Sprintf("s-%08x", 0x51000000+n*7919), b.handle)
		if err != nil {
			return 0, err
		}
		proxy, err := lab.StartProxy(server.Address, minOneWay, maxOneWay, seen.passedOn)
		if err != nil {
			return 0, err
		}
		proxies = append(proxies, proxy)
		entries = append(entries, server.Entry(proxy.Address, "floor-2"))
	}
	discovery, err := lab.StartDiscovery(entries)
	if err != nil {
		return 0, err
	}
	plans := []standin.Plan{{Name: "business", Rate: 40, Burst: 160}}
	g, err := lab.NewGateway(standin.GatewayConfig{
		Name: "n0", Discovery: discovery.Address, Seed: "8c1f30d27a5be964",
		Limits:   standin.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Settings: standin.Settings(1, 0, false, standin.AmmanClasses, plans),
	})
	if err != nil {
		return 0, err
	}
	if err := g.Start(); err != nil {
		return 0, err
	}
	if err := g.WaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	var r result
	var running sync.WaitGroup
	until := time.Now().Add(duration)
	for n := range clients {
		running.Go(func() { client(lab, g.Listen, n, until, seen, &r) })
	}
	running.Wait()

	var pieces, over int64
	var longest time.Duration
	for _, proxy := range proxies {
		n, o, l := proxy.Delays()
		pieces, over, longest = pieces+n, over+o, max(longest, l)
	}
	lab.Printf("pieces delayed %d, of them over %v by half a millisecond %d, longest %v", pieces, maxOneWay, over, longest)
	lab.Printf("second copies sent %d, not sent %d", b.copies.Load(), b.held.Load())
	lab.Printf("served %d, refused %d, failed %d, no answer %d", r.served.Load(), r.refused.Load(), r.failed.Load(), r.lost.Load())
	lab.Printf("served with a foreign answer: %d by a copy within %v, %d by a copy that was later, %d behind those",
		r.foreign.Load(), maxGap, r.later.Load(), r.shifted.Load())
	lab.Printf("advance-draws that ran twice: %d", r.twice.Load())
	switch {
	case r.foreign.Load()+r.twice.Load() > 0:
		return standin.RuleBroken, nil
	case r.served.Load() < 10000:
		return standin.CannotRun, nil
	}
	return standin.RuleHeld, nil
}

// client is one connection of clients, on which requests follow each other at random times.
func client(lab *standin.Lab, address string, n int, until time.Time, seen *arrivals, r *result) {
	connection := standin.Client{Address: address, Lab: lab}
	defer connection.Close()
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) * clients / requestRate))
		request := &standin.Request{
			ID: standin.NewID(), Class: "invoice-check", Method: http.MethodGet, Path: "/1", Plan: "business",
			Customer: uint64(1000 + n), Timeout: requestLimit, Units: 1, Spread: 1, First: 0,
		}
		if n%2 == 0 {
			request.Class, request.Method, request.Body = "advance-draw", http.MethodPost, []byte("draw for "+request.ID)
		}
		response := connection.Do(request, 2*time.Second)
		if request.Method == http.MethodPost {
			judgeRuns(lab, n, request, response, seen, r)
		}
		switch {
		case response.Status == 0:
			r.lost.Add(1)
			lab.Logf("client %d: %s %s: no answer: %v", n, request.Method, request.ID, response.Err)
		case response.Status == http.StatusOK && string(response.Body) == "answer to "+request.ID:
			r.served.Add(1)
		case response.Status == http.StatusOK:
			judgeForeign(lab, n, request, response, seen, r)
		case response.Status == http.StatusTooManyRequests || response.Status == http.StatusServiceUnavailable:
			r.refused.Add(1)
		default:
			r.failed.Add(1)
		}
	}
}

// judgeRuns counts an advance-draw that two backends have run.
func judgeRuns(
	lab *standin.Lab, n int, request *standin.Request, response standin.Response, seen *arrivals, r *result,
) {
	runs := seen.executions(request.ID)
	if len(runs) < 2 {
		return
	}
	var gap time.Duration
	for _, run := range runs { // in the order in which they reached their backends
		gap = max(gap, seen.gapOf(run.behind))
	}
	if gap > 0 && gap <= maxGap {
		r.twice.Add(1)
	}
	lab.Logf("client %d: %s /%s %s: RAN %d TIMES, status %d: at %v; a copy came before one of them, %v behind its answer",
		n, request.Method, request.Class, request.ID, len(runs), response.Status, runs, gap)
}

// judgeForeign counts a 200 that holds another answer than the one made for the request.
func judgeForeign(
	lab *standin.Lab, n int, request *standin.Request, response standin.Response, seen *arrivals, r *result,
) {
	kind, gap := "a copy", time.Duration(0)
	if found := answerID.FindSubmatch(response.Body); found != nil {
		gap = seen.gapOf(string(found[1]))
	}
	switch {
	case gap == 0:
		kind = "an answer behind a foreign one"
		r.shifted.Add(1)
	case gap > maxGap:
		r.later.Add(1)
	default:
		r.foreign.Add(1)
	}
	lab.Logf("client %d: %s /%s %s: FOREIGN: 200 with %q, %s that came %v after the answer", n, request.Method,
		request.Class, request.ID, response.Body, kind, gap)
}
