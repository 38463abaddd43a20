package gateway

import (
	"errors"
	"time"

	"amberlb/policy"
)

// Times that the protocol sets for a shutdown, in its section "Figures". The time from SIGTERM to the earliest SIGKILL
// is the sum of killDelay and the longest deadline of the classes. In this sum, a deadline above maxKillDeadline counts
// as maxKillDeadline.
const (
	killDelay            = 700 * time.Millisecond // fixed part of the time from SIGTERM to the earliest SIGKILL
	maxKillDeadline      = 3 * time.Second        // limit on the part that depends on the longest deadline
	lateConnectionPeriod = 400 * time.Millisecond // time after SIGTERM during which new connections arrive
)

// The margins of the shutdown schedule.
const (
	maxProcessStall = 150 * time.Millisecond // longest stall of the process at answerBy that the schedule allows for
	deliveryTime    = 50 * time.Millisecond  // time from the event loop's answer until its last byte reaches the client
	listenMargin    = 100 * time.Millisecond // time from the end of admission to the close of the listener
	slowReaderGrace = time.Second            // time after the earliest SIGKILL for clients that read slowly
)

// shutdownSchedule holds the times of a graceful shutdown, as durations since SIGTERM. The times are computed
// backwards from the earliest SIGKILL, so that a request that is admitted at the last moment, with the longest
// deadline, is answered before SIGKILL. The fields are in the order of their times if the longest deadline is at least
// listenMargin.
type shutdownSchedule struct {
	// admitUntil is when the gateway stops admitting requests. A request that is incomplete at that time or arrives
	// later is answered 503. The time from admitUntil to answerBy is the longest deadline, but maxKillDeadline at most.
	admitUntil time.Duration
	// listenUntil is when the gateway stops accepting connections, listenMargin after admitUntil. A client that
	// connects between admitUntil and listenUntil gets a 503 instead of a reset.
	listenUntil time.Duration
	// answerBy is the time by which the engine has given every request its final answer. Even if the process is stalled
	// at that time, for maxProcessStall at most, the answers are delivered before the earliest SIGKILL.
	answerBy time.Duration
	// exitBy is when the shutdown stops waiting for client connections to close, slowReaderGrace after the earliest
	// SIGKILL. The process then exits, after a last check for answers that are still being written (see awaitAnswers).
	exitBy time.Duration
}

// newShutdownSchedule computes the schedule for a deployment from the longest deadline of its classes.
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

// longestDeadline returns the longest deadline of the classes.
func (c *Config) longestDeadline() time.Duration {
	return toDuration(policy.LongestDeadline(c.Classes))
}

// errClientsRemaining is returned if a graceful shutdown has ended before all clients had read their answers.
var errClientsRemaining = errors.New("client connections were still open at the end of the shutdown")

// shutdown shuts the gateway down by the times of a shutdownSchedule. The gateway still admits requests for a while,
// answers all open requests, and then closes its connections. Idle connections are closed at once, but new connections
// are still accepted: a client that sends a request just as its idle connection is closed can send the request again on
// a new connection. The method Shutdown of the HTTP server is not used, because it also closes idle connections on
// which an unread request waits.
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
	s.logCounts()
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

// startDraining closes the idle connections as drain does. From now on, the gateway closes each connection after the
// next answer on it. The gateway rejects requests that are incomplete at admitUntil, and answers every request by
// answerBy.
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
