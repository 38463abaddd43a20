package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Figures of the case early.
const (
	usualDuration = 5 * time.Second // of checks of clients that all wait the same time
	earlyDuration = 30 * time.Second
	earlyFrom     = 4000 // milliseconds: half of the deadline
	earlyTo       = 5600 // milliseconds: 70% of the deadline
)

func init() { cases["early"] = playEarly }

// playEarly sends invoice checks of clients that all wait the same time, and then of clients that give up early, each after a
// time of its own.
func playEarly(l *lab) error {
	d, err := startDeployment(l, deploymentOptions{
		gateways: 3, backends: 9, serve: servePlain(lognormalWork(200 * time.Millisecond)),
	})
	if err != nil {
		return err
	}
	d.countStuck(usualDuration, usualTime)
	timeLeft := usualTime
	if l.trouble {
		l.note("clients give up early from now on")
		timeLeft = func() time.Duration {
			return time.Duration(earlyFrom+rand.IntN(earlyTo-earlyFrom)) * time.Millisecond
		}
	}
	stuck := d.countStuck(earlyDuration, timeLeft)
	d.noteRuns()
	l.note("answers by status: %v", d.countStatus())
	if 10*stuck > len(d.gateways) {
		return fmt.Errorf("%w: %d of %d gateways refused all that they got for over %v on end, with no attempt in between and all backends well",
			errBroken, stuck, len(d.gateways), rejectedAtMost)
	}
	return nil
}
