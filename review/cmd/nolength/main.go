// Command nolength plays backends some of whose answers have no length and end with their connection, and counts how
// many of these that came whole the gateway forwards.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"amberlb/review/standin"
)

const (
	backends      = 9
	clients       = 24
	requestRate   = 60.0 // requests a second; BRIEF: about 61
	duration      = 40 * time.Second
	minWork       = 5 * time.Millisecond
	maxWork       = 25 * time.Millisecond
	noLengthShare = 0.2
	minAnswers    = 100 // whole answers without length that the case needs
	requestLimit  = 4 * time.Second
)

func main() { standin.Main(110*time.Second, run) }

// ledger holds what backends and clients saw, by correlation id.
type ledger struct {
	mu       sync.Mutex
	ran      map[string]int // attempts that ran
	noLength map[string]int // whole answers without length
	total    int            // whole answers without length, over all requests
}

func (l *ledger) add(id string, noLength bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[id]++
	if noLength {
		l.noLength[id]++
		l.total++
	}
}

func (l *ledger) get(id string) (ran, noLength int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[id], l.noLength[id]
}

func run(lab *standin.Lab) (int, error) {
	seen := &ledger{ran: map[string]int{}, noLength: map[string]int{}}
	handle := func(a *standin.Attempt) bool {
		time.Sleep(minWork + rand.N(maxWork-minWork))
		body := "answer to " + a.ID
		noLength := lab.Trouble && rand.Float64() < noLengthShare
		seen.add(a.ID, noLength)
		if noLength {
			lab.Logf("%s: %s %s: whole answer without length", a.Backend.Name, a.Method, a.ID)
			fmt.Fprintf(a.Conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", body)
			return false // the connection is closed in order; every byte of the request has been read
		}
		_, err := a.Conn.Write(standin.Answer(body))
		return err == nil
	}
	var entries []standin.Entry
	for n := range backends {
		b, err := lab.StartBackend(fmt.Sprintf("s-%08x", 0x51000000+n*7919), handle)
		if err != nil {
			return 0, err
		}
		entries = append(entries, b.Entry(b.Address, fmt.Sprintf("floor-%d", 1+n%3)))
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
	var mu sync.Mutex
	served, failed, forwarded, drawsLost := 0, 0, 0, 0
	var running sync.WaitGroup
	until := time.Now().Add(duration)
	for n := range clients {
		running.Go(func() {
			connection := standin.Client{Address: g.Listen, Lab: lab}
			defer connection.Close()
			for time.Now().Before(until) {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) * clients / requestRate))
				r := &standin.Request{
					ID: standin.NewID(), Class: "invoice-check", Method: http.MethodGet, Path: "/1", Plan: "business",
					Customer: uint64(1000 + n), Timeout: requestLimit, Units: 1, Spread: 1, First: 0,
				}
				if n%2 == 0 {
					r.Class, r.Method, r.Body = "advance-draw", http.MethodPost, []byte("draw for "+r.ID)
				}
				response := connection.Do(r, 2*time.Second)
				ran, noLength := seen.get(r.ID)
				right := response.Status == http.StatusOK && string(response.Body) == "answer to "+r.ID
				mu.Lock()
				if right {
					served++
					if noLength == ran {
						forwarded++ // only an answer without length can have been forwarded
					}
				} else {
					failed++
					if noLength > 0 && r.Method == http.MethodPost {
						drawsLost++
					}
					lab.Logf("client %d: %s %s: status %d, error %v; %d attempts ran, %d answered whole and without length",
						n, r.Method, r.ID, response.Status, response.Err, ran, noLength)
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	lab.Printf("whole answers without length %d, forwarded %d", seen.total, forwarded)
	lab.Printf("requests served %d, not served %d, of them advance-draws that ran and were answered whole %d",
		served, failed, drawsLost)
	switch {
	case lab.Trouble && seen.total < minAnswers || served < 500:
		return standin.CannotRun, nil
	case 2*forwarded < seen.total:
		return standin.RuleBroken, nil
	}
	return standin.RuleHeld, nil
}
