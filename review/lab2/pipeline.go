package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case pipeline.
const (
	pipelineClients  = 6
	pipelineRequests = 8       // requests that a client sends at once
	pipelineBody     = 4 << 10 // bytes; a body holds 64 KiB at most
	pipelineRounds   = 5
)

func init() { cases["pipeline"] = playPipeline }

// playPipeline lets clients send some requests at once on a connection.
func playPipeline(l *lab) error {
	d, err := startDeployment(l, deploymentOptions{
		gateways: 3, backends: 9, serve: servePlain(lognormalWork(60 * time.Millisecond)),
	})
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	for n := range pipelineClients {
		all.Go(func() {
			for range pipelineRounds {
				d.sendTogether(n)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	all.Wait()
	d.noteRuns()
	lost := 0
	for _, o := range d.outcomes {
		if o.status == 0 {
			lost++
		}
	}
	l.note("answers by status: %v", d.countStatus())
	if lost > 0 {
		return fmt.Errorf("%w: %d of %d requests that had been sent whole got no answer", errBroken, lost, len(d.outcomes))
	}
	return nil
}

// sendTogether sends requests on a new connection and waits for all answers: at once with the disruption, each after the
// answer to the one before without.
func (d *deployment) sendTogether(number int) {
	requests := make([]*request, pipelineRequests)
	for i := range requests {
		r := &request{
			id: newID(), class: advanceDraw, plan: "business", customer: uint64(5000 + 100*number + i), units: 2, spread: fleetSize,
			timeLeft: advanceDraw.deadline * 3 / 4,
		}
		r.body = []byte(strings.Repeat("x", pipelineBody))
		requests[i] = r
	}
	if !d.lab.trouble {
		c := &clients{address: d.gateways[number%fleetSize].address}
		for _, r := range requests {
			d.keep(c.do(r))
		}
		return
	}
	conn, err := dialClient(d.gateways[number%fleetSize].address)
	if err != nil {
		return
	}
	defer conn.Close()
	sentAt := time.Now()
	conn.SetDeadline(sentAt.Add(requests[0].timeLeft + 500*time.Millisecond))
	var text []byte
	for _, r := range requests {
		text = append(text, r.text()...)
	}
	_, writeErr := conn.Write(text)
	ended := errors.New("the gateway ended the connection")
	for _, r := range requests {
		o := &outcome{request: r, sentAt: sentAt, newConn: true}
		if writeErr == nil {
			conn.received.bytes = 0
			o.read(conn, http.MethodPost)
			if o.status != 0 && o.err != nil {
				writeErr = ended
			} else if o.status == 0 {
				writeErr = o.err
			}
		} else {
			o.err, o.endedAt = writeErr, time.Now()
		}
		d.keep(o)
	}
}
