package gateway

import (
	"errors"
	"log/slog"
	"time"
)

const (
	stayFor    = 600 * time.Millisecond // new connections still come so long after a stop was asked for
	stopMargin = 500 * time.Millisecond // for the last answers after the longest deadline
)

// shutdown takes what still comes for a while, answers what is held, and ends.
// Danger: a request may cross the closing of its idle connection; its client
// then sends it again on a new one. So idle connections go at once, while new
// ones are still taken, and the listener goes later. The server's own Shutdown is
// of no use: it closes idle connections also when a request waits on them unread.
func (g *gateway) shutdown() error {
	asked := time.Now()
	step := func(name string) {
		g.log.Info("stop: "+name, "after", time.Since(asked), "clients", g.clients)
	}
	step("asked for")
	g.front.leaving.Store(true)
	g.clients.leave()
	time.Sleep(stayFor)
	g.front.closed.Store(true)
	g.clients.Close()
	step("nothing new is taken")
	ended := g.clients.ended(longest(g.config) + stopMargin - stayFor)
	step("ending")
	if !ended {
		for _, open := range g.clients.unanswered(mostListed) {
			g.log.Error("stop: a request is left without its answer", "after", time.Since(asked), "request", open)
		}
	}
	g.server.Close()
	g.log.Info("counts", "since_start", &g.front.loop.metrics)
	if !ended {
		return errors.New("clients were still open at the end")
	}
	return nil
}

// mostListed bounds the lines about single requests at a stop.
const mostListed = 32

// openRequest is what is known of a request on a connection.
type openRequest struct {
	id, class string
	client    string        // address
	open      time.Duration // since it was read
}

// LogValue lists the fields.
func (r openRequest) LogValue() slog.Value {
	return slog.GroupValue(slog.String("id", r.id), slog.String("class", r.class), slog.String("client", r.client),
		slog.Duration("open", r.open))
}
