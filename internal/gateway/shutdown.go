package gateway

import (
	"errors"
	"time"

	"amberlb/policy"
)

// The times of a shutdown in the protocol (section "Figures"). SIGKILL comes no sooner after SIGTERM than the longest
// deadline plus killDelay.
const (
	killDelay            = 700 * time.Millisecond // from the longest deadline to the earliest SIGKILL
	maxKillDeadline      = 3 * time.Second        // a longer deadline counts as this for the earliest SIGKILL
	lateConnectionPeriod = 400 * time.Millisecond // new connections arrive until this long after SIGTERM
)

// The margins of the shutdown schedule.
const (
	maxProcessStall = 150 * time.Millisecond // longest stall of the process between reading its clock and writing
	deliveryTime    = 50 * time.Millisecond  // from the event loop's answer to the last byte at the client
	listenMargin    = 100 * time.Millisecond // from the end of admission to the close of the listener
	slowReaderGrace = time.Second            // after the earliest SIGKILL, for clients that read their answer slowly
)

// shutdownSchedule holds the times of a graceful shutdown, as durations since SIGTERM. They are computed backwards
// from the earliest SIGKILL, so that a request that is admitted at the last moment, with the longest deadline, is
// answered before SIGKILL. The fields are in the order of their times.
type shutdownSchedule struct {
	// admitUntil is when the gateway stops admitting requests. A request that is incomplete then, or arrives later, is
	// answered 503. The time from admitUntil to answerBy is the longest deadline, maxKillDeadline at most.
	admitUntil time.Duration
	// listenUntil is when the gateway stops accepting connections, listenMargin after admitUntil. A client that
	// connects between the two gets a 503 instead of a reset.
	listenUntil time.Duration
	// answerBy is when the engine has given every request its final answer. Even if the process is then stalled, the
	// answers are delivered before the earliest SIGKILL.
	answerBy time.Duration
	// exitBy is when the process exits if there was no SIGKILL, whatever clients do. It is slowReaderGrace after the
	// earliest SIGKILL.
	exitBy time.Duration
}

// newShutdownSchedule computes the schedule for a deployment in which longestDeadline is the longest deadline of a
// class.
func newShutdownSchedule(longestDeadline time.Duration) shutdownSchedule {
	maxOpenTime := min(longestDeadline, maxKillDeadline)
	earliestKill := maxOpenTime + killDelay
	answerBy := earliestKill - maxProcessStall - deliveryTime
	admitUntil := answerBy - maxOpenTime
	return shutdownSchedule{
		admitUntil:  admitUntil,
		listenUntil: admitUntil + listenMargin,
		answerBy:    answerBy,
		exitBy:      earliestKill + slowReaderGrace,
	}
}

// longestDeadline returns the longest time that a client may wait for its answer.
func (c *Config) longestDeadline() time.Duration {
	return toDuration(policy.LongestDeadline(c.Classes))
}

// errClientsRemaining is returned if a graceful shutdown has ended before all clients had read their answers.
var errClientsRemaining = errors.New("client connections were still open at the end of the shutdown")

// shutdown ends the gateway gracefully: for a while it still admits requests, it answers every open request, and then
// it closes. It closes idle connections at once but still accepts new ones: a client whose request crosses the close
// of an idle connection sends the request again on a new connection. The HTTP server's own Shutdown method is not
// used, because it also closes idle connections on which an unread request waits.
func (s *server) shutdown(requestedAt time.Time) error {
	schedule := newShutdownSchedule(s.config.longestDeadline())
	admitUntil := requestedAt.Add(schedule.admitUntil)
	answerBy := requestedAt.Add(schedule.answerBy)

	s.logShutdownStep("requested", requestedAt)
	s.startDraining(admitUntil, answerBy)
	time.Sleep(time.Until(admitUntil))
	s.frontend.rejecting.Store(true)
	s.logShutdownStep("requests are no longer admitted", requestedAt)

	time.Sleep(time.Until(requestedAt.Add(schedule.listenUntil)))
	s.closeListener(answerBy)
	s.logShutdownStep("connections are no longer accepted", requestedAt)

	allClosed := s.clientConnections.awaitClosed(time.Until(requestedAt.Add(schedule.exitBy)))
	if !allClosed {
		s.awaitAnswers()
	}
	s.logShutdownStep("exiting", requestedAt)
	s.httpServer.Close()
	s.log.Info("counts", "since_start", &s.frontend.loop.metrics)
	if !allClosed {
		return errClientsRemaining
	}
	return nil
}

// logShutdownStep logs a step with the time since the shutdown was requested and the number of connections in each
// phase.
func (s *server) logShutdownStep(name string, requestedAt time.Time) {
	s.log.Info("shutdown: "+name, "after", time.Since(requestedAt), "clients", s.clientConnections)
}

// startDraining makes the gateway close each connection after its answer, reject requests that are incomplete at
// admitUntil, and answer every request by answerBy.
func (s *server) startDraining(admitUntil, answerBy time.Time) {
	loop := s.frontend.loop
	s.frontend.draining.Store(true)
	loop.post(shutdownStarted{answerBy: loop.clock.now() + time.Until(answerBy).Seconds()})
	s.clientConnections.drain(admitUntil)
}

// closeListener closes the listener as soon as its accept queue is empty, and at answerBy at the latest.
func (s *server) closeListener(answerBy time.Time) {
	s.clientConnections.stopAccepting()
	select {
	case <-s.serveErr:
	case <-time.After(time.Until(answerBy)):
		s.clientConnections.Close()
	}
}
