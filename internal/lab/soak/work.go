package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"amberlb/internal/lab/pause"
)

const (
	longestRest  = 1200 * time.Millisecond // of a new connection before its first request; the server waits 2.5 s
	longestThink = 150 * time.Millisecond  // between two requests
	noGateway    = 20 * time.Millisecond   // until a client looks for one again
	crowdPause   = 5 * time.Millisecond    // between two connections of the crowd
	bodyMost     = 2000                    // bytes
)

// work is one client: it takes a connection after another, and uses each for as long as it stays open.
func (r *run) work(ctx context.Context, number uint64) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, 10_000+number))
	for ctx.Err() == nil {
		conn := r.connect(rng, -1)
		if conn == nil {
			pause.For(ctx, noGateway)
			continue
		}
		if rng.IntN(3) == 0 {
			pause.For(ctx, span(rng, 0, longestRest))
		}
		for reuse := true; reuse && ctx.Err() == nil && !conn.Ended(); {
			reuse = r.exchange(rng, conn)
			pause.For(ctx, span(rng, 0, longestThink))
		}
		conn.Close()
	}
}

// connect takes a new connection to a gateway that the front brings clients to, but not the one with the number
// other. It returns nil if there is none.
func (r *run) connect(rng *rand.Rand, other int) *Conn {
	for _, i := range rng.Perm(len(r.nodes)) {
		n := r.nodes[i]
		n.mu.Lock()
		life, admitted := n.life, n.admitted
		n.mu.Unlock()
		if !admitted || i == other {
			continue
		}
		if conn, err := Dial(r.clock, n.proxy.Address(), i, life); err == nil {
			conn.proxy = n.proxy
			return conn
		}
	}
	return nil
}

// exchange sends a request and, if its connection ends with no byte of an answer, sends it once more on a new one.
func (r *run) exchange(rng *rand.Rand, conn *Conn) (reuse bool) {
	q := r.request(rng)
	s, reuse := conn.Do(q)
	r.record(s)
	if s.Status != 0 || s.Began || s.Left || s.Sent == 0 || isTimeout(s.Err) || r.killed(conn) {
		return reuse
	}
	second := r.connect(rng, conn.gateway)
	if second == nil {
		return false
	}
	defer second.Close()
	q.LeaveAfter = 0
	if q.Patience -= s.Ended - s.Sent; q.Patience < time.Millisecond {
		return false
	}
	s, _ = second.Do(q)
	s.Resent = true
	r.record(s)
	return false
}

// killed tells whether the process behind a connection was killed with no warning: what it had taken may have run, and is
// not sent again.
func (r *run) killed(conn *Conn) bool {
	n := r.nodes[conn.gateway]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.abrupt == conn.life
}

func (r *run) record(s Sending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendings = append(r.sendings, s)
}

// request draws the next request.
func (r *run) request(rng *rand.Rand) Request {
	r.mu.Lock()
	r.requests++
	id := r.requests
	r.mu.Unlock()
	class := r.plan.Classes[rng.IntN(len(r.plan.Classes))]
	q := Request{ID: fmt.Sprintf("%016x", id), Class: class.Name, Method: "GET", Patience: class.Deadline}
	if class.Effect != Repeatable {
		q.Method, q.Body = "POST", 1+rng.IntN(bodyMost)
	}
	if class.Effect == ByKey {
		q.Key = q.ID
	}
	switch rng.IntN(12) {
	case 0, 1: // slow
		q.Pieces, q.PieceGap = 2+rng.IntN(4), span(rng, 0, 150*time.Millisecond)
	case 2: // gone
		q.LeaveAfter = span(rng, time.Millisecond, class.Deadline)
	}
	return q
}

// crowd keeps idle connections at a gateway, as many as the plan says.
func (r *run) crowd(ctx context.Context, n *node) {
	if r.plan.Crowd == 0 {
		return
	}
	places := make([]net.Conn, r.plan.Crowd)
	defer func() {
		for _, conn := range places {
			if conn != nil {
				conn.Close()
			}
		}
	}()
	for next := 0; pause.For(ctx, crowdPause); next = (next + 1) % len(places) {
		if places[next] != nil {
			places[next].Close() // the gateway has most likely ended it
		}
		places[next], _ = net.DialTimeout("tcp", n.setup.Listen, dialLimit) // an error leaves nil
	}
}
