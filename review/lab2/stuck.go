package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case stuck.
const (
	stuckRounds    = 3
	hangingShare   = 4                       // of nine backends
	hangAfterReady = 4500 * time.Millisecond // a hang ends that long after the restarted gateway is ready
	checkDuration  = 6 * time.Second         // of the invoice checks in a round
	longDuration   = 25 * time.Second        // of further invoice checks, once a gateway refuses all
	checkInterval  = 200 * time.Millisecond  // between the invoice checks at one gateway
	rejectedAtMost = 4 * time.Second         // on end, by at most one gateway in ten
	rejectedLeast  = 15                      // requests
)

func init() { cases["stuck"] = playStuck }

// hang holds back the answers of some backends while it lasts.
type hang struct {
	mu    sync.Mutex
	ended chan struct{} // nil: no backend hangs
	names map[string]bool
}

// begin makes a random choice of the backends hang.
func (h *hang) begin(l *lab, backends []*backend) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended, h.names = make(chan struct{}), map[string]bool{}
	for _, n := range rand.Perm(len(backends))[:hangingShare] {
		h.names[backends[n].name] = true
		l.note("%s hangs", backends[n].name)
	}
}

// end ends the hang.
func (h *hang) end(l *lab) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.ended)
	h.ended = nil
	l.note("no backend hangs")
}

// wait waits while a backend hangs.
func (h *hang) wait(name string) {
	h.mu.Lock()
	ended := h.ended
	if !h.names[name] {
		ended = nil
	}
	h.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// playStuck restarts one gateway after another in a quiet hour while some backends hang, and then sends invoice checks.
func playStuck(l *lab) error {
	var h hang
	work := lognormalWork(200 * time.Millisecond)
	var d *deployment
	serve := func(x *exchange) bool {
		x.ran = true
		h.wait(x.backend.name)
		time.Sleep(work(x))
		_, err := io.WriteString(x.conn, answerText(x.id))
		return err == nil
	}
	d, err := startDeployment(l, deploymentOptions{gateways: 3, backends: 9, serve: serve})
	if err != nil {
		return err
	}
	worst := 0
	for round := range stuckRounds {
		if l.trouble {
			for _, g := range d.gateways {
				if err := d.restartWhileBackendsHang(g, &h); err != nil {
					return err
				}
			}
		} else {
			for n := range d.gateways {
				d.keep(d.clients[n].do(d.newDraw()))
			}
		}
		stuck := d.countStuck(checkDuration, usualTime)
		l.note("round %d: %d gateways are stuck", round, stuck)
		if stuck > 0 {
			worst = stuck
			l.note("%d of them still refuse all later", d.countStuck(longDuration, usualTime))
			break
		}
	}
	d.noteRuns()
	l.note("answers by status: %v", d.countStatus())
	if 10*worst > len(d.gateways) {
		return fmt.Errorf("%w: %d of %d gateways refused all that they got for over %v on end, with no attempt in between and all backends well",
			errBroken, worst, len(d.gateways), rejectedAtMost)
	}
	return nil
}

// newDraw returns an advance-draw of a customer that sends nothing else.
func (d *deployment) newDraw() *request {
	return &request{
		id: newID(), class: advanceDraw, plan: "business", customer: 9000 + rand.Uint64N(1000), units: 2, spread: fleetSize,
		timeLeft: advanceDraw.deadline * 3 / 4, body: []byte("{}"),
	}
}

// restartWhileBackendsHang restarts a gateway while some backends hang, and sends it a single request when it is ready.
func (d *deployment) restartWhileBackendsHang(g *gateway, h *hang) error {
	h.begin(d.lab, d.backends)
	defer h.end(d.lab)
	g.signal(syscall.SIGTERM)
	select {
	case <-g.ended:
	case <-time.After(3700 * time.Millisecond):
		g.kill()
	}
	for n := range d.gateways {
		if d.gateways[n] == g {
			d.options[n].seed = rand.Uint64()
			if err := g.configure(d.options[n]); err != nil {
				return err
			}
		}
	}
	if err := g.run(); err != nil {
		return err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return err
	}
	draw := d.newDraw()
	go func() { d.keep((&clients{address: g.address}).do(draw)) }()
	time.Sleep(hangAfterReady)
	return nil
}

// usualTime returns the time that a usual client waits for an invoice check.
func usualTime() time.Duration { return invoiceCheck.deadline * 3 / 4 }

// countStuck sends invoice checks to all gateways for a time, and returns the number of those that refused all for too long.
// Each check has the time that timeLeft returns.
func (d *deployment) countStuck(duration time.Duration, timeLeft func() time.Duration) int {
	stuck := 0
	for n, rejected := range d.checkInvoices(duration, timeLeft) {
		d.lab.note("n%d: longest time in which all was refused: %v", n, rejected.Round(time.Millisecond))
		if rejected >= rejectedAtMost {
			stuck++
		}
	}
	return stuck
}

// checkInvoices sends invoice checks to all gateways, and returns for each the longest time in which it refused all of at
// least rejectedLeast requests, with no attempt in between.
func (d *deployment) checkInvoices(duration time.Duration, timeLeft func() time.Duration) []time.Duration {
	time.Sleep(time.Second) // the answers to earlier requests come
	outcomes := make([][]*outcome, len(d.gateways))
	var all sync.WaitGroup
	var customer atomic.Uint64
	for n := range d.gateways {
		all.Go(func() {
			var mu sync.Mutex
			var open sync.WaitGroup
			for begin := time.Now(); time.Since(begin) < duration; time.Sleep(checkInterval) {
				r := &request{
					id: newID(), class: invoiceCheck, plan: "business", customer: 20000 + customer.Add(1), units: 1, spread: fleetSize,
					timeLeft: timeLeft(),
				}
				open.Go(func() {
					o := d.clients[n].do(r)
					d.keep(o)
					mu.Lock()
					defer mu.Unlock()
					outcomes[n] = append(outcomes[n], o)
				})
			}
			open.Wait()
		})
	}
	all.Wait()
	attempted := map[string]bool{}
	for _, b := range d.backends {
		for _, x := range b.requests() {
			attempted[x.id] = true
		}
	}
	longest := make([]time.Duration, len(d.gateways))
	for n := range outcomes {
		longest[n] = longestRejection(outcomes[n], attempted)
	}
	return longest
}

// longestRejection returns the longest time in which at least rejectedLeast requests were refused without an attempt. The
// outcomes are nearly in the order of their requests.
func longestRejection(outcomes []*outcome, attempted map[string]bool) time.Duration {
	longest, count := time.Duration(0), 0
	var since time.Time
	for _, o := range outcomes {
		if attempted[o.request.id] || o.status != 429 && o.status != 503 {
			count = 0
			continue
		}
		if count == 0 {
			since = o.sentAt
		}
		count++
		if count >= rejectedLeast {
			longest = max(longest, o.sentAt.Sub(since))
		}
	}
	return longest
}
