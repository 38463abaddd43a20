package gateway

import (
	"errors"
	"time"

	"amberlb/policy"
)

// What the protocol says of a shutdown (section "Figures").
const (
	killDelay            = 700 * time.Millisecond // SIGKILL comes no sooner than the longest deadline plus this after SIGTERM
	maxKillDeadline      = 3 * time.Second        // a longer deadline counts as this
	lateConnectionPeriod = 400 * time.Millisecond // new connections come for so long after SIGTERM
)

// The margins of the schedule.
const (
	maxProcessStall = 150 * time.Millisecond // the process may be held up for so long between reading its clock and writing
	deliveryTime    = 50 * time.Millisecond  // from the loop's answer to its last byte at the client
	listenMargin    = 100 * time.Millisecond // connections are accepted for so long after requests are no longer admitted
	slowReaderGrace = time.Second            // after the earliest SIGKILL, for clients that are slow to read their answer
)

// shutdownSchedule is the timetable of a graceful shutdown, as durations since SIGTERM. Each is computed back from the
// earliest SIGKILL, so that a request admitted at the last moment, with the longest deadline, has its answer before. In
// their order:
type shutdownSchedule struct {
	// admitUntil ends the admission of requests: one that is complete later, or not complete by then, is answered 503.
	// It is the longest deadline, maxKillDeadline at most, before answerBy.
	admitUntil time.Duration
	// listenUntil ends the accepting of connections, listenMargin after admitUntil. A client that connects in between
	// gets a 503 and no reset.
	listenUntil time.Duration
	// answerBy is when the decisions have given every request its final answer, early enough for its delivery by a
	// process that is held up before the earliest SIGKILL.
	answerBy time.Duration
	// exitBy ends a process that had no SIGKILL whatever clients do, slowReaderGrace after the earliest SIGKILL.
	exitBy time.Duration
}

// newShutdownSchedule computes the timetable for a deployment with this longest deadline of a class.
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

// longestDeadline returns how long a client may wait for its answer at most.
func (c *Config) longestDeadline() time.Duration {
	return seconds(policy.LongestDeadline(c.Classes))
}

// errClientsRemaining says that a graceful shutdown ended while clients had not read their answers.
var errClientsRemaining = errors.New("clients were still open at the end")

// shutdown ends the gateway gracefully: it admits what still comes for a while, answers every open request, and closes.
// Idle connections are closed at once, while new ones are still accepted: a request that crosses the close of its idle
// connection comes again on a new one. The HTTP server's own Shutdown does not serve here: it closes idle connections
// also when a request waits on them unread.
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
		s.awaitResponses()
	}
	s.logShutdownStep("exiting", requestedAt)
	s.httpServer.Close()
	s.log.Info("counts", "since_start", &s.frontend.loop.metrics)
	if !allClosed {
		return errClientsRemaining
	}
	return nil
}

// logShutdownStep logs a step with the time since the shutdown was requested and the connections by phase.
func (s *server) logShutdownStep(name string, requestedAt time.Time) {
	s.log.Info("shutdown: "+name, "after", time.Since(requestedAt), "clients", s.clientConnections)
}

// startDraining has each connection closed after its answer, requests that are incomplete at admitUntil rejected, and
// every request answered by answerBy.
func (s *server) startDraining(admitUntil, answerBy time.Time) {
	loop := s.frontend.loop
	s.frontend.draining.Store(true)
	loop.post(shutdownStarted{answerBy: loop.clock.now() + time.Until(answerBy).Seconds()})
	s.clientConnections.drain(admitUntil)
}

// closeListener closes the listener once its queue is empty, and by answerBy whatever the queue holds.
func (s *server) closeListener(answerBy time.Time) {
	s.clientConnections.stopAccepting()
	select {
	case <-s.serveErr:
	case <-time.After(time.Until(answerBy)):
		s.clientConnections.Close()
	}
}
