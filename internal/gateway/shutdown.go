package gateway

import (
	"errors"
	"log/slog"
	"time"

	"amberlb/policy"
)

// What the protocol says of a stop (section "Figures").
const (
	killDelay     = 700 * time.Millisecond // SIGKILL comes no sooner than the longest deadline plus this after SIGTERM
	killDeadline  = 3 * time.Second        // a longer deadline counts as this
	frontDelay    = 400 * time.Millisecond // new connections come so long after SIGTERM
	stallMost     = 150 * time.Millisecond // the process may be held up so long between reading its clock and writing
	deliveryTime  = 50 * time.Millisecond  // from the loop's answer to its last byte at the client
	listenMargin  = 100 * time.Millisecond // connections are accepted so long after requests are no longer taken
	slowReaderEnd = time.Second            // after the earliest SIGKILL, for clients that are slow to read their answer
)

// stopSchedule is the timetable of a graceful stop: spans since it was asked for. Each is computed from the earliest
// SIGKILL backwards, so that a request taken at the last moment, with the longest deadline, has its answer before.
type stopSchedule struct {
	admit  time.Duration // requests that are whole by then are taken; others get 503
	listen time.Duration // connections are accepted up to then
	answer time.Duration // by then the decisions have given every request its final answer
	end    time.Duration // without SIGKILL, the process ends then whatever clients do
}

// newStopSchedule computes the timetable for a deployment with this longest deadline.
func newStopSchedule(longestDeadline time.Duration) stopSchedule {
	held := min(longestDeadline, killDeadline)
	kill := held + killDelay
	answer := kill - stallMost - deliveryTime
	admit := answer - held
	return stopSchedule{admit: admit, listen: admit + listenMargin, answer: answer, end: kill + slowReaderEnd}
}

var errClientsLeft = errors.New("clients were still open at the end")

// shutdown takes what still comes for a while, answers what is held, and ends. Idle connections end at once, while new
// ones are still taken: a request that crosses the end of its idle connection comes again on a new one. The
// server's own Shutdown is of no use: it closes idle connections also when a request waits on them unread.
func (g *gateway) shutdown(asked time.Time) error {
	schedule := newStopSchedule(g.config.longestDeadline())
	loop := g.front.loop
	step := func(name string) {
		g.log.Info("stop: "+name, "after", time.Since(asked), "clients", g.clients)
	}
	step("asked for")
	g.front.leaving.Store(true)
	loop.post(stopping{by: loop.clock.now() + time.Until(asked.Add(schedule.answer)).Seconds()})
	g.clients.leave(asked.Add(schedule.admit))
	time.Sleep(time.Until(asked.Add(schedule.admit)))
	g.front.closed.Store(true)
	step("no more requests are taken")
	time.Sleep(time.Until(asked.Add(schedule.listen)))
	g.clients.stopAccepting()
	select {
	case <-g.served:
	case <-time.After(time.Until(asked.Add(schedule.answer))):
		g.clients.Close()
	}
	step("no more connections are taken")
	ended := g.clients.ended(time.Until(asked.Add(schedule.end)))
	if !ended {
		g.awaitAnswers()
	}
	step("ending")
	g.server.Close()
	g.log.Info("counts", "since_start", &loop.metrics)
	if !ended {
		return errClientsLeft
	}
	return nil
}

const (
	lastLooks  = 100 // for answers that are still being written at the end
	lastLook   = 10 * time.Millisecond
	mostListed = 32 // bounds the lines about single requests at a stop
)

// awaitAnswers waits for requests without their answer, and logs those that are left. It counts looks and not time: a
// process that was held up until the end is given as many chances to run as any other.
func (g *gateway) awaitAnswers() {
	for range lastLooks {
		if len(g.clients.unanswered(1)) == 0 {
			return
		}
		time.Sleep(lastLook)
	}
	for _, open := range g.clients.unanswered(mostListed) {
		x := open.exchange
		g.log.Error("stop: a request is left without its whole answer", slog.Group("request", "id", x.id,
			"class", g.config.ClassNames[x.ask.Class], "client", open.client,
			"open", seconds(g.front.loop.clock.now()-x.ask.SentAt)))
	}
}

// openRequest is a request that is open on a client's connection.
type openRequest struct {
	*exchange
	client string // its address
}

// longestDeadline is how long a client may wait for its answer, at most.
func (c *Config) longestDeadline() time.Duration {
	return seconds(policy.LongestDeadline(c.Classes))
}
