package main

import (
	"fmt"
	"time"
)

// Figures of the case slowdiscovery.
const (
	// slowAnswer is the time that an answer of discovery takes while discovery is slow. The pages count what a call has to
	// tell as told 2 s after the wait of a call that may wait, and 6 s after discovery had it.
	slowAnswer   = 1700 * time.Millisecond
	slowFrom     = 4 * time.Second
	drainAt      = 8 * time.Second
	slowDuration = 32 * time.Second
	toldLatest   = 6 * time.Second // after discovery had a change that can be asked for
	limitSlack   = 50 * time.Millisecond
)

func init() { cases["slowdiscovery"] = playSlowDiscovery }

// playSlowDiscovery lets a backend drain while discovery is slow.
func playSlowDiscovery(l *lab) error {
	d, err := startDeployment(l, deploymentOptions{
		gateways: 3, backends: 9, serve: servePlain(lognormalWork(60 * time.Millisecond)),
	})
	if err != nil {
		return err
	}
	draining := d.backends[0]
	var drainedAt time.Time
	slow := false
	d.offerWhile(60, slowDuration, func(since time.Duration) {
		if l.trouble && !slow && since >= slowFrom {
			slow = true
			d.discovery.setDelay(slowAnswer)
		}
		if drainedAt.IsZero() && since >= drainAt {
			e := d.entries[0]
			e.Lifecycle = "Terminating"
			d.discovery.set(e)
			drainedAt = time.Now()
		}
	})
	d.noteRuns()
	limit := drainedAt.Add(toldLatest + drainGrace + limitSlack)
	late, last := 0, time.Duration(0)
	for _, x := range draining.requests() {
		if x.firstByte.After(limit) {
			late++
			last = x.firstByte.Sub(drainedAt)
		}
	}
	l.note("answers by status: %v", d.countStatus())
	if late > 0 {
		return fmt.Errorf("%w: %d requests came to %s later than %v after discovery had told that it drains, the last after %v",
			errBroken, late, draining.name, limit.Sub(drainedAt), last.Round(time.Millisecond))
	}
	return nil
}
