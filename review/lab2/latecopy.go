package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Figures of the case latecopy.
const (
	copyLate     = 12 * time.Millisecond   // time from an answer to its second copy
	copyShare    = 0.05                    // share of the answers that are followed by a second copy
	fullShare    = 0.25                    // share of the requests that a backend turns away, as if its queue were full
	floorDelay   = 2000 * time.Microsecond // one way, between floors
	copyDuration = 30 * time.Second
	copyRate     = 400 // requests a second at four gateways
)

// turnedAway is the answer of a backend to a request that it has not run.
const turnedAway = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"

func init() { cases["latecopy"] = playLateCopy }

// playLateCopy lets backends send some answers a second time, some milliseconds after the first.
func playLateCopy(l *lab) error {
	var copies, skipped atomic.Int64
	work := lognormalWork(15 * time.Millisecond)
	serve := func(x *exchange) bool {
		text := turnedAway
		if rand.Float64() >= fullShare {
			x.ran = true
			time.Sleep(work(x))
			text = answerText(x.id)
		}
		if _, err := io.WriteString(x.conn, text); err != nil {
			return false
		}
		if !l.trouble || rand.Float64() >= copyShare {
			return true
		}
		begun := x.conn.requestsBegun()
		go func() {
			time.Sleep(copyLate)
			if x.conn.requestsBegun() != begun {
				skipped.Add(1)
				return // something else waits on the connection
			}
			copies.Add(1)
			l.note("%s: second copy of the answer to %s", x.backend.name, x.id)
			io.WriteString(x.conn, text)
		}()
		return true
	}
	d, err := startDeployment(l, deploymentOptions{
		gateways: 4, backends: 9, serve: serve,
		address: func(b *backend) (string, error) {
			p, err := startDelayProxy(b.address, floorDelay)
			if err != nil {
				return "", err
			}
			return p.address, nil
		},
		settings: func(rank int) map[string]any {
			s := settings(rank)
			s["fleetSize"] = 4
			s["locality"] = rank % 3
			return s
		},
	})
	if err != nil {
		return err
	}
	d.offer(copyRate, copyDuration)
	d.noteRuns()
	foreign := 0
	for _, o := range d.outcomes {
		if o.status == 200 && o.body != answerBody(o.request.id) {
			foreign++
			l.noteAt(o.endedAt, "client: %s got %q", o.request.id, o.body)
		}
	}
	twice := 0
	for id, runs := range d.runs(advanceDraw) {
		if runs > 1 {
			twice++
			l.note("%s, which must not run twice, has run %d times", id, runs)
		}
	}
	l.note("answers by status: %v; second copies: %d, left out since something else waited: %d", d.countStatus(), copies.Load(), skipped.Load())
	if foreign+twice > 0 {
		return fmt.Errorf("%w: %d of %d requests were served with the answer made for another request, %d that must not run twice did (%d second copies)",
			errBroken, foreign, len(d.outcomes), twice, copies.Load())
	}
	return nil
}
