package gateway

import (
	"errors"
	"log/slog"
	"time"

	"amberlb/policy"
)

// What the protocol says of a stop (section "Figures").
const (
	killDelay           = 700 * time.Millisecond // SIGKILL comes no sooner than the longest deadline plus this after SIGTERM
	maxKillDeadline     = 3 * time.Second        // a longer deadline counts as this
	lateConnectionDelay = 400 * time.Millisecond // new connections come so long after SIGTERM
	maxProcessStall     = 150 * time.Millisecond // the process may be held up so long between reading its clock and writing
	deliveryTime        = 50 * time.Millisecond  // from the loop's answer to its last byte at the client
	listenMargin        = 100 * time.Millisecond // connections are accepted so long after requests are no longer taken
	slowReaderGrace     = time.Second            // after the earliest SIGKILL, for clients that are slow to read their answer
)

// shutdownSchedule is the timetable of a graceful stop: spans since it was asked for. Each is computed from the earliest
// SIGKILL backwards, so that a request taken at the last moment, with the longest deadline, has its answer before.
type shutdownSchedule struct {
	admitUntil  time.Duration // requests that are whole by then are taken; others get 503
	listenUntil time.Duration // connections are accepted up to then
	answerBy    time.Duration // by then the decisions have given every request its final answer
	exitBy      time.Duration // without SIGKILL, the process ends then whatever clients do
}

// newShutdownSchedule computes the timetable for a deployment with this longest deadline.
func newShutdownSchedule(longestDeadline time.Duration) shutdownSchedule {
	maxHeld := min(longestDeadline, maxKillDeadline)
	earliestKill := maxHeld + killDelay
	answerBy := earliestKill - maxProcessStall - deliveryTime
	admitUntil := answerBy - maxHeld
	return shutdownSchedule{admitUntil: admitUntil, listenUntil: admitUntil + listenMargin, answerBy: answerBy, exitBy: earliestKill + slowReaderGrace}
}

var errClientsRemaining = errors.New("clients were still open at the end")

// shutdown takes what still comes for a while, answers what is held, and ends. Idle connections end at once, while new
// ones are still taken: a request that crosses the end of its idle connection comes again on a new one. The
// server's own Shutdown is of no use: it closes idle connections also when a request waits on them unread.
func (s *server) shutdown(requestedAt time.Time) error {
	schedule := newShutdownSchedule(s.config.longestDeadline())
	loop := s.frontend.loop
	logStep := func(name string) {
		s.log.Info("stop: "+name, "after", time.Since(requestedAt), "clients", s.clientConnections)
	}
	logStep("asked for")
	s.frontend.draining.Store(true)
	loop.post(shutdownStarted{answerBy: loop.clock.now() + time.Until(requestedAt.Add(schedule.answerBy)).Seconds()})
	s.clientConnections.drain(requestedAt.Add(schedule.admitUntil))
	time.Sleep(time.Until(requestedAt.Add(schedule.admitUntil)))
	s.frontend.rejecting.Store(true)
	logStep("no more requests are taken")
	time.Sleep(time.Until(requestedAt.Add(schedule.listenUntil)))
	s.clientConnections.stopAccepting()
	select {
	case <-s.serveErr:
	case <-time.After(time.Until(requestedAt.Add(schedule.answerBy))):
		s.clientConnections.Close()
	}
	logStep("no more connections are taken")
	allClosed := s.clientConnections.awaitClosed(time.Until(requestedAt.Add(schedule.exitBy)))
	if !allClosed {
		s.awaitResponses()
	}
	logStep("ending")
	s.httpServer.Close()
	s.log.Info("counts", "since_start", &loop.metrics)
	if !allClosed {
		return errClientsRemaining
	}
	return nil
}

const (
	finalPolls        = 100 // for answers that are still being written at the end
	finalPollInterval = 10 * time.Millisecond
	maxLoggedRequests = 32 // bounds the lines about single requests at a stop
)

// awaitResponses waits for requests without their answer, and logs those that are left. It counts looks and not time: a
// process that was held up until the end is given as many chances to run as any other.
func (s *server) awaitResponses() {
	for range finalPolls {
		if len(s.clientConnections.unanswered(1)) == 0 {
			return
		}
		time.Sleep(finalPollInterval)
	}
	for _, unanswered := range s.clientConnections.unanswered(maxLoggedRequests) {
		req := unanswered.clientRequest
		s.log.Error("stop: a request is left without its whole answer", slog.Group("request", "id", req.correlationID,
			"class", s.config.ClassNames[req.decoded.Class], "client", unanswered.client,
			"open", seconds(s.frontend.loop.clock.now()-req.decoded.SentAt)))
	}
}

// unansweredRequest is a request that is open on a client's connection.
type unansweredRequest struct {
	*clientRequest
	client string // its address
}

// longestDeadline is how long a client may wait for its answer, at most.
func (c *Config) longestDeadline() time.Duration {
	return seconds(policy.LongestDeadline(c.Classes))
}
