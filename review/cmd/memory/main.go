// Command memory plays bad clients that send all of a long request but its last byte and stay, beside the usual
// clients, and checks that the gateway stays within its memory limit. As the platform does, it kills a gateway that
// goes over it.
package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"amberlb/review/standin"
)

const (
	backends    = 9
	clients     = 40
	requestRate = 60.0 // requests a second of the usual clients; BRIEF: about 61
	badClients  = 500  // DAYS: hundreds of requests at once
	memoryMB    = 48   // DAYS: 32 to 192 MB
	sockets     = 1024 // DAYS: 256 to 1,024 descriptors
	bodyBytes   = 64 << 10
	duration    = 40 * time.Second
	badFrom     = 10 * time.Second // the bad clients come then
	work        = 10 * time.Millisecond
)

func main() { standin.Main(110*time.Second, run) }

// counts holds how the usual clients' requests ended, and what the bad clients got.
type counts struct {
	served, refused, failed, unanswered atomic.Int64
	badInTime, badLate                  atomic.Int64 // an error or close within 3 s of connecting, or later
}

func run(lab *standin.Lab) (int, error) {
	handle := func(a *standin.Attempt) bool {
		time.Sleep(work)
		_, err := a.Conn.Write(standin.Answer("answer to " + a.ID))
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
		Limits:   standin.Limits{Cores: 1, MemoryMB: memoryMB, Sockets: sockets},
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
	var c counts
	var running sync.WaitGroup
	until := time.Now().Add(duration)
	stop := make(chan struct{}) // closed when the platform has killed the gateway
	for n := range clients {
		running.Go(func() { usualClient(lab, g.Listen, n, until, stop, &c) })
	}
	if lab.Trouble {
		running.Go(func() {
			time.Sleep(badFrom)
			lab.Logf("%d bad clients come", badClients)
			for range badClients {
				running.Go(func() { badClient(lab, g.Listen, until, stop, &c) })
			}
		})
	}
	peak, anonymous, over := watch(lab, g, until, stop)
	running.Wait()
	lab.Printf("resident memory of the gateway: peak %d kB, of it anonymous %d kB; limit %d MB, %d kB", peak, anonymous,
		memoryMB, memoryMB<<10)
	lab.Printf("usual clients: served %d, refused %d, failed %d, no answer %d", c.served.Load(), c.refused.Load(),
		c.failed.Load(), c.unanswered.Load())
	lab.Printf("bad clients: error or close within 3 s %d, later %d", c.badInTime.Load(), c.badLate.Load())
	switch {
	case over:
		return standin.RuleBroken, nil
	case c.served.Load() < 100:
		return standin.CannotRun, nil
	}
	return standin.RuleHeld, nil
}

// watch is the platform: it kills the gateway when its anonymous memory alone, without file pages, is over the limit. It
// returns the peaks in kB, and whether the limit was passed. It closes stop then.
func watch(lab *standin.Lab, g *standin.Gateway, until time.Time, stop chan struct{}) (peak, anonymous int, over bool) {
	for time.Now().Before(until) {
		time.Sleep(20 * time.Millisecond)
		resident := statusKB(g.Pid(), "VmRSS:")
		held := statusKB(g.Pid(), "RssAnon:")
		anonymous = max(anonymous, held)
		if resident > peak+2048 {
			lab.Logf("platform: the gateway's resident memory is %d kB", resident)
		}
		peak = max(peak, resident)
		if held > memoryMB<<10 {
			lab.Logf("platform: the gateway is over its limit of %d MB, and is killed", memoryMB)
			g.Signal(syscall.SIGKILL)
			<-g.Exited()
			close(stop)
			return peak, anonymous, true
		}
	}
	return peak, anonymous, false
}

// statusKB returns a value of a process's status in kB.
func statusKB(pid int, key string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == key {
			value, _ := strconv.Atoi(fields[1])
			return value
		}
	}
	return 0
}

func ended(until time.Time, stop chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return time.Now().After(until)
	}
}

// badClient sends a request but its last byte and stays until it has got its error or close, again and again.
func badClient(lab *standin.Lab, address string, until time.Time, stop chan struct{}, c *counts) {
	r := &standin.Request{
		Class: "advance-draw", Method: http.MethodPost, Path: "/1", Plan: "business", Customer: 7, Timeout: 4 * time.Second,
		Units: 1, Spread: 1, First: 0, Body: bytes.Repeat([]byte("invoice "), bodyBytes/8),
	}
	for !ended(until, stop) {
		connectedAt := time.Now()
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r.ID = standin.NewID()
		text := r.Encode()
		conn.Write(text[:len(text)-1])
		conn.SetReadDeadline(time.Now().Add(6 * time.Second))
		conn.Read(make([]byte, 1)) // an error, a close or a reset
		lab.Logf("bad client: sent a part of a request, error or close after %v", time.Since(connectedAt).Round(time.Millisecond))
		if time.Since(connectedAt) > 3050*time.Millisecond {
			c.badLate.Add(1)
		} else {
			c.badInTime.Add(1)
		}
		conn.Close()
	}
}

// usualClient sends one request at a time on a connection that it keeps.
func usualClient(lab *standin.Lab, address string, n int, until time.Time, stop chan struct{}, c *counts) {
	connection := standin.Client{Address: address, Lab: lab}
	defer connection.Close()
	for !ended(until, stop) {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) * clients / requestRate))
		r := &standin.Request{
			ID: standin.NewID(), Class: "invoice-check", Method: http.MethodGet, Path: "/1", Plan: "business",
			Customer: uint64(1000 + n), Timeout: 4 * time.Second, Units: 1, Spread: 1, First: 0,
		}
		if n%2 == 0 {
			r.Class, r.Method, r.Body = "advance-draw", http.MethodPost, []byte("draw for "+r.ID)
		}
		response := connection.Do(r, time.Second)
		switch {
		case response.Status == 0:
			c.unanswered.Add(1)
			lab.Logf("client %d: %s /%s %s: no answer: %v", n, r.Method, r.Class, r.ID, response.Err)
		case response.Status == http.StatusOK:
			c.served.Add(1)
		case response.Status == http.StatusTooManyRequests || response.Status == http.StatusServiceUnavailable:
			c.refused.Add(1)
		default:
			c.failed.Add(1)
		}
	}
}
