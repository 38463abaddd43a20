package main

import (
	"fmt"
	"syscall"
	"time"
)

// Figures of the case reloads.
const (
	crowdedAnswer   = 600 * time.Millisecond // time that an answer of discovery takes
	crowdedFrom     = 3 * time.Second
	reloadsDrainAt  = 5 * time.Second
	firstReload     = 5200 * time.Millisecond
	reloadInterval  = time.Second
	reloadCount     = 16
	reloadsDuration = 24 * time.Second
)

func init() { cases["reloads"] = playReloads }

// playReloads lets a backend drain while new configurations come in quick succession and discovery is slow.
func playReloads(l *lab) error {
	d, err := startDeployment(l, deploymentOptions{
		gateways: 3, backends: 9, serve: servePlain(lognormalWork(60 * time.Millisecond)),
	})
	if err != nil {
		return err
	}
	draining := d.backends[0]
	var drainedAt time.Time
	var reloadErr error
	slow, reloads := false, 0
	d.offerWhile(60, reloadsDuration, func(since time.Duration) {
		if l.trouble && !slow && since >= crowdedFrom {
			slow = true
			d.discovery.setDelay(crowdedAnswer)
		}
		if drainedAt.IsZero() && since >= reloadsDrainAt {
			e := d.entries[0]
			e.Lifecycle = "Terminating"
			d.discovery.set(e)
			drainedAt = time.Now()
		}
		if l.trouble && reloads < reloadCount && since >= firstReload+time.Duration(reloads)*reloadInterval {
			reloads++
			if err := d.reload(); err != nil {
				reloadErr = err
			}
		}
	})
	if reloadErr != nil {
		return reloadErr
	}
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

// reload moves discovery, and gives all gateways a configuration with its new address.
func (d *deployment) reload() error {
	if err := d.discovery.move(); err != nil {
		return err
	}
	for n, g := range d.gateways {
		d.options[n].discovery = d.discovery.address
		if err := g.configure(d.options[n]); err != nil {
			return err
		}
		g.signal(syscall.SIGHUP)
	}
	return nil
}
